package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"chervilhollow/order"
)

type (
	// DailySheet is the planners' daily sheet: teams, keys, shares, limits and
	// the availability of failure domains.
	DailySheet struct {
		teams   map[order.TeamName]*dailyTeam
		keys    map[string]dailyKey
		domains map[order.DomainName]dailyDomain
	}

	// Fault is one error in a daily sheet, with its place in the file.
	Fault struct {
		row    int
		column string
		reason string
	}

	// FaultsError lists all faults of a daily sheet. A sheet with a fault is
	// rejected as a whole.
	FaultsError struct {
		faults []Fault
	}

	// dailyTeam is a team row with the team built so far. The row numbers are
	// zero if the sheet has no such row yet.
	dailyTeam struct {
		team     Team
		row      int
		shareRow int
		limitRow int
	}

	dailyKey struct {
		key Key
		row int
	}

	dailyDomain struct {
		open bool
		row  int
	}

	// dailyRow is one row of the sheet, with white space trimmed from its
	// fields. The number is its line in the file, from one.
	dailyRow struct {
		number int
		kind   string
		name   string
		value  string
		state  string
	}

	// dailyParser collects the rows and faults of a sheet, and the sheet built
	// from them.
	dailyParser struct {
		rows   []dailyRow
		sheet  *DailySheet
		faults []Fault
	}
)

// Columns of the sheet, in their order.
const (
	columnType  = "type"
	columnName  = "name"
	columnValue = "value"
	columnState = "state"
)

// Values of the column type.
const (
	rowTeam   = "team"
	rowKey    = "key"
	rowShare  = "share"
	rowLimit  = "limit"
	rowDomain = "domain"
)

// Limits, prefixes of key values, and values of the column state.
const (
	maxSheetBytes   = 4 << 20
	minSecretLength = 16
	hashPrefix      = "sha256:"
	secretPrefix    = "secret:"

	stateValid     = "valid"
	stateWithdrawn = "withdrawn"
	stateIn        = "in"
	stateOut       = "out"
)

var sheetColumns = []string{columnType, columnName, columnValue, columnState}

// Row returns the line of the fault in the file, from one.
func (f Fault) Row() int { return f.row }

// Column returns the name of the column. If the line is not valid CSV, it
// returns the position in the line instead.
func (f Fault) Column() string { return f.column }

// Reason returns what is wrong, for operators and without secrets.
func (f Fault) Reason() string { return f.reason }

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("row %d, column %s: %s", f.row, f.column, f.reason)
}

// Faults returns the faults in order of row.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.faults)+1)
	lines = append(lines, fmt.Sprintf("the sheet has %d faults, nothing was changed", len(e.faults)))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// ParseDailySheet reads a daily sheet, whose format docs/sheet.md describes.
// For an invalid sheet it returns a *FaultsError with all its faults.
func ParseDailySheet(data []byte) (*DailySheet, error) {
	r := &dailyParser{sheet: &DailySheet{
		teams:   make(map[order.TeamName]*dailyTeam),
		keys:    make(map[string]dailyKey),
		domains: make(map[order.DomainName]dailyDomain),
	}}
	if len(data) > maxSheetBytes {
		r.addFault(1, columnType, "the sheet has %d bytes, at most %d are allowed", len(data), maxSheetBytes)
		return nil, r.err()
	}
	r.parseRows(data)
	r.readTeams()
	r.readDomains()
	for _, row := range r.rows {
		r.readTeamDetail(row)
	}
	r.checkTeams()
	if err := r.err(); err != nil {
		return nil, err
	}
	return r.sheet, nil
}

// parseRows reads the rows of the CSV file, which may begin with a byte order
// mark. It continues after an invalid line, so that all faults are reported.
func (r *dailyParser) parseRows(data []byte) {
	data = bytes.TrimPrefix(data, []byte("\uFEFF"))
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	header := false
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			r.addFault(parseErr.Line, strconv.Itoa(parseErr.Column), "%v", parseErr.Err)
			continue
		}
		line, _ := reader.FieldPos(0)
		if !header {
			header = true
			r.checkHeader(line, fields)
			continue
		}
		r.addRow(line, fields)
	}
	if !header {
		r.addFault(1, columnType, "the sheet is empty; the first row must be %s", strings.Join(sheetColumns, ","))
	}
}

func (r *dailyParser) checkHeader(line int, fields []string) {
	if len(fields) != len(sheetColumns) {
		r.addFault(line, columnType, "the first row must be %s", strings.Join(sheetColumns, ","))
		return
	}
	for i, want := range sheetColumns {
		if got := strings.TrimSpace(fields[i]); got != want {
			r.addFault(line, want, "found %q, want %q", got, want)
		}
	}
}

// addRow keeps a row with the right number of fields and a known type.
func (r *dailyParser) addRow(line int, fields []string) {
	if len(fields) != len(sheetColumns) {
		r.addFault(line, columnType, "%d fields, want %d", len(fields), len(sheetColumns))
		return
	}
	row := dailyRow{
		number: line,
		kind:   strings.TrimSpace(fields[0]),
		name:   strings.TrimSpace(fields[1]),
		value:  strings.TrimSpace(fields[2]),
		state:  strings.TrimSpace(fields[3]),
	}
	switch row.kind {
	case rowTeam, rowKey, rowShare, rowLimit, rowDomain:
		r.rows = append(r.rows, row)
	default:
		r.addFault(line, columnType, "unknown type %q, want team, key, share, limit or domain", row.kind)
	}
}

// readTeams creates the teams of all team rows. It runs before the other rows
// are read, because they may precede the row of their team.
func (r *dailyParser) readTeams() {
	for _, row := range r.rows {
		if row.kind != rowTeam {
			continue
		}
		name := order.TeamName(row.name)
		if err := checkName(rowTeam, row.name); err != nil {
			r.addFault(row.number, columnName, "%v", err)
			continue
		}
		if existing, ok := r.sheet.teams[name]; ok {
			r.addFault(row.number, columnName, "team %s is already in row %d", name, existing.row)
			continue
		}
		r.sheet.teams[name] = &dailyTeam{team: NewTeam(name, 0, 0), row: row.number}
	}
	if len(r.sheet.teams) == 0 && len(r.faults) == 0 {
		r.addFault(1, columnType, "the sheet has no team")
	}
}

// readDomains runs before the teams' domains are read, which refer to its rows.
func (r *dailyParser) readDomains() {
	for _, row := range r.rows {
		if row.kind == rowDomain {
			r.readDomain(row)
		}
	}
}

func (r *dailyParser) readDomain(row dailyRow) {
	name := order.DomainName(row.name)
	if err := checkName(rowDomain, row.name); err != nil {
		r.addFault(row.number, columnName, "%v", err)
		return
	}
	if existing, ok := r.sheet.domains[name]; ok {
		r.addFault(row.number, columnName, "domain %s is already in row %d", name, existing.row)
		return
	}
	if row.state != stateIn && row.state != stateOut {
		r.addFault(row.number, columnState, "found %q, want in or out", row.state)
	}
	r.requireEmpty(row.number, columnValue, row.value)
	r.sheet.domains[name] = dailyDomain{open: row.state == stateIn, row: row.number}
}

// readTeamDetail reads a row of any type other than domain, all of which refer
// to a team.
func (r *dailyParser) readTeamDetail(row dailyRow) {
	if row.kind == rowDomain {
		return
	}
	if row.kind != rowKey {
		r.requireEmpty(row.number, columnState, row.state)
	}
	t, ok := r.sheet.teams[order.TeamName(row.name)]
	if !ok {
		if row.kind != rowTeam {
			r.addFault(row.number, columnName, "no team row for %q", row.name)
		}
		return
	}
	switch row.kind {
	case rowTeam:
		r.readTeamDomains(row, t)
	case rowShare:
		r.readShare(row, t)
	case rowLimit:
		r.readLimit(row, t)
	case rowKey:
		r.readKey(row)
	}
}

// readTeamDomains ignores a second row of the same team, which readTeams has
// reported.
func (r *dailyParser) readTeamDomains(row dailyRow, t *dailyTeam) {
	if t.row != row.number {
		return
	}
	var domains []order.DomainName
	seen := make(map[order.DomainName]bool)
	for _, field := range strings.Fields(row.value) {
		name := order.DomainName(field)
		if _, ok := r.sheet.domains[name]; !ok {
			r.addFault(row.number, columnValue, "no domain row for %q", field)
		}
		if !seen[name] {
			seen[name] = true
			domains = append(domains, name)
		}
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	t.team.domains = domains
}

func (r *dailyParser) readShare(row dailyRow, t *dailyTeam) {
	if t.shareRow != 0 {
		r.addFault(row.number, columnName, "the share of team %s is already in row %d", row.name, t.shareRow)
		return
	}
	t.shareRow = row.number
	share, err := strconv.ParseFloat(row.value, 64)
	if err != nil {
		r.addFault(row.number, columnValue, "share %q: want a number above zero", row.value)
		return
	}
	if err := checkShare(share); err != nil {
		r.addFault(row.number, columnValue, "%v", err)
		return
	}
	t.team.share = share
}

func (r *dailyParser) readLimit(row dailyRow, t *dailyTeam) {
	if t.limitRow != 0 {
		r.addFault(row.number, columnName, "the limit of team %s is already in row %d", row.name, t.limitRow)
		return
	}
	t.limitRow = row.number
	limit, err := strconv.Atoi(row.value)
	if err != nil || limit < 0 || limit > maxLimit {
		r.addFault(row.number, columnValue, "limit %q: want a whole number from 0 to %d", row.value, maxLimit)
		return
	}
	t.team.limit = limit
}

// readKey reads a key row. Its faults do not contain the value, which may be a
// secret.
func (r *dailyParser) readKey(row dailyRow) {
	hash, ok := r.readHash(row)
	if row.state != "" && row.state != stateValid && row.state != stateWithdrawn {
		r.addFault(row.number, columnState, "found %q, want valid or withdrawn", row.state)
		return
	}
	if !ok {
		return
	}
	if existing, duplicate := r.sheet.keys[hash]; duplicate {
		r.addFault(row.number, columnValue, "the key is already in row %d", existing.row)
		return
	}
	key := NewKey(hash, order.TeamName(row.name)).WithWithdrawn(row.state == stateWithdrawn)
	r.sheet.keys[hash] = dailyKey{key: key, row: row.number}
}

// readHash returns the hash of a key row, which holds either the hash or the
// secret. It reports false if the value is invalid.
func (r *dailyParser) readHash(row dailyRow) (string, bool) {
	if hash, ok := strings.CutPrefix(row.value, hashPrefix); ok {
		hash = strings.ToLower(hash)
		if !hashPattern.MatchString(hash) {
			r.addFault(row.number, columnValue, "want 64 hexadecimal digits after %s", hashPrefix)
			return "", false
		}
		return hash, true
	}
	if secret, ok := strings.CutPrefix(row.value, secretPrefix); ok {
		if len(secret) < minSecretLength {
			r.addFault(row.number, columnValue, "want at least %d characters after %s", minSecretLength, secretPrefix)
			return "", false
		}
		return HashKey(secret), true
	}
	r.addFault(row.number, columnValue, "a key must begin with %s or %s", hashPrefix, secretPrefix)
	return "", false
}

func (r *dailyParser) checkTeams() {
	for name, t := range r.sheet.teams {
		if t.shareRow == 0 {
			r.addFault(t.row, columnName, "no share row for team %s", name)
		}
		if t.limitRow == 0 {
			r.addFault(t.row, columnName, "no limit row for team %s", name)
		}
	}
}

func (r *dailyParser) requireEmpty(row int, column, value string) {
	if value != "" {
		r.addFault(row, column, "found %q, want it empty", value)
	}
}

func (r *dailyParser) addFault(row int, column, format string, args ...any) {
	r.faults = append(r.faults, Fault{row: row, column: column, reason: fmt.Sprintf(format, args...)})
}

func (r *dailyParser) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return newFaultsError(r.faults)
}

// newFaultsError sorts the faults by row.
func newFaultsError(faults []Fault) *FaultsError {
	sort.Slice(faults, func(i, j int) bool {
		if faults[i].row != faults[j].row {
			return faults[i].row < faults[j].row
		}
		return faults[i].String() < faults[j].String()
	})
	return &FaultsError{faults: faults}
}
