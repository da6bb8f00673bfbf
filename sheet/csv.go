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
	// Daily is the planners' daily sheet: teams, keys, shares, limits and the
	// availability of failure domains.
	Daily struct {
		teams   map[order.TeamName]*dailyTeam
		keys    map[string]dailyKey
		domains map[order.DomainName]dailyDomain
	}

	// Fault is one fault of a sheet.
	Fault struct {
		row    int
		column string
		reason string
	}

	// FaultsError lists all faults of a sheet. Nothing of it was applied.
	FaultsError struct {
		faults []Fault
	}

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

	// dailyRow is one row in fields.
	dailyRow struct {
		row   int
		kind  string
		name  string
		value string
		state string
	}

	// dailyReader collects the rows and the faults of a sheet.
	dailyReader struct {
		rows   []dailyRow
		daily  *Daily
		faults []Fault
	}
)

// Columns of the sheet.
const (
	columnType  = "type"
	columnName  = "name"
	columnValue = "value"
	columnState = "state"
)

// Types of rows.
const (
	rowTeam   = "team"
	rowKey    = "key"
	rowShare  = "share"
	rowLimit  = "limit"
	rowDomain = "domain"
)

const (
	maxSheet     = 4 << 20
	minSecret    = 16
	hashPrefix   = "sha256:"
	secretPrefix = "secret:"

	keyValid     = "valid"
	keyWithdrawn = "withdrawn"
	domainIn     = "in"
	domainOut    = "out"
)

var sheetColumns = []string{columnType, columnName, columnValue, columnState}

// Row returns the line of the fault in the file, from one.
func (f Fault) Row() int { return f.row }

// Column returns the name of the column, or the position where the row cannot
// be read.
func (f Fault) Column() string { return f.column }

// Reason returns what is wrong.
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

// ParseDaily reads a daily sheet; docs/sheet.md describes the format. The
// error of an invalid sheet is a FaultsError.
func ParseDaily(data []byte) (*Daily, error) {
	r := &dailyReader{daily: &Daily{
		teams:   make(map[order.TeamName]*dailyTeam),
		keys:    make(map[string]dailyKey),
		domains: make(map[order.DomainName]dailyDomain),
	}}
	if len(data) > maxSheet {
		r.fault(1, columnType, "the sheet has %d bytes, at most %d are allowed", len(data), maxSheet)
		return nil, r.err()
	}
	r.split(data)
	r.readTeams()
	r.readDomains()
	for _, row := range r.rows {
		r.readDetail(row)
	}
	r.checkTeams()
	if err := r.err(); err != nil {
		return nil, err
	}
	return r.daily, nil
}

// split reads the rows as CSV.
func (r *dailyReader) split(data []byte) {
	data = bytes.TrimPrefix(data, []byte("\uFEFF"))
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	header := false
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			r.fault(broken.Line, strconv.Itoa(broken.Column), "%v", broken.Err)
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
		r.fault(1, columnType, "the sheet is empty; the first row must be %s", strings.Join(sheetColumns, ","))
	}
}

func (r *dailyReader) checkHeader(line int, fields []string) {
	if len(fields) != len(sheetColumns) {
		r.fault(line, columnType, "the first row must be %s", strings.Join(sheetColumns, ","))
		return
	}
	for i, want := range sheetColumns {
		if got := strings.TrimSpace(fields[i]); got != want {
			r.fault(line, want, "found %q, want %q", got, want)
		}
	}
}

func (r *dailyReader) addRow(line int, fields []string) {
	if len(fields) != len(sheetColumns) {
		r.fault(line, columnType, "%d fields, want %d", len(fields), len(sheetColumns))
		return
	}
	row := dailyRow{
		row:   line,
		kind:  strings.TrimSpace(fields[0]),
		name:  strings.TrimSpace(fields[1]),
		value: strings.TrimSpace(fields[2]),
		state: strings.TrimSpace(fields[3]),
	}
	switch row.kind {
	case rowTeam, rowKey, rowShare, rowLimit, rowDomain:
		r.rows = append(r.rows, row)
	default:
		r.fault(line, columnType, "unknown type %q, want team, key, share, limit or domain", row.kind)
	}
}

func (r *dailyReader) readTeams() {
	for _, row := range r.rows {
		if row.kind != rowTeam {
			continue
		}
		name := order.TeamName(row.name)
		if err := checkName(rowTeam, row.name); err != nil {
			r.fault(row.row, columnName, "%v", err)
			continue
		}
		if held, ok := r.daily.teams[name]; ok {
			r.fault(row.row, columnName, "team %s is already in row %d", name, held.row)
			continue
		}
		r.daily.teams[name] = &dailyTeam{team: NewTeam(name, 0, 0), row: row.row}
	}
	if len(r.daily.teams) == 0 && len(r.faults) == 0 {
		r.fault(1, columnType, "the sheet has no team")
	}
}

func (r *dailyReader) readDomains() {
	for _, row := range r.rows {
		if row.kind == rowDomain {
			r.readDomain(row)
		}
	}
}

func (r *dailyReader) readDomain(row dailyRow) {
	name := order.DomainName(row.name)
	if err := checkName(rowDomain, row.name); err != nil {
		r.fault(row.row, columnName, "%v", err)
		return
	}
	if held, ok := r.daily.domains[name]; ok {
		r.fault(row.row, columnName, "domain %s is already in row %d", name, held.row)
		return
	}
	if row.state != domainIn && row.state != domainOut {
		r.fault(row.row, columnState, "found %q, want in or out", row.state)
	}
	r.mustBeEmpty(row.row, columnValue, row.value)
	r.daily.domains[name] = dailyDomain{open: row.state == domainIn, row: row.row}
}

// readDetail reads a row that refers to a team.
func (r *dailyReader) readDetail(row dailyRow) {
	if row.kind == rowDomain {
		return
	}
	if row.kind != rowKey {
		r.mustBeEmpty(row.row, columnState, row.state)
	}
	t, ok := r.daily.teams[order.TeamName(row.name)]
	if !ok {
		if row.kind != rowTeam {
			r.fault(row.row, columnName, "no team row for %q", row.name)
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

func (r *dailyReader) readTeamDomains(row dailyRow, t *dailyTeam) {
	if t.row != row.row {
		return
	}
	var domains []order.DomainName
	seen := make(map[order.DomainName]bool)
	for _, field := range strings.Fields(row.value) {
		name := order.DomainName(field)
		if _, ok := r.daily.domains[name]; !ok {
			r.fault(row.row, columnValue, "no domain row for %q", field)
		}
		if !seen[name] {
			seen[name] = true
			domains = append(domains, name)
		}
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	t.team.domains = domains
}

func (r *dailyReader) readShare(row dailyRow, t *dailyTeam) {
	if t.shareRow != 0 {
		r.fault(row.row, columnName, "the share of team %s is already in row %d", row.name, t.shareRow)
		return
	}
	t.shareRow = row.row
	share, err := strconv.ParseFloat(row.value, 64)
	if err != nil {
		r.fault(row.row, columnValue, "share %q: want a number above zero", row.value)
		return
	}
	if err := checkShare(share); err != nil {
		r.fault(row.row, columnValue, "%v", err)
		return
	}
	t.team.share = share
}

func (r *dailyReader) readLimit(row dailyRow, t *dailyTeam) {
	if t.limitRow != 0 {
		r.fault(row.row, columnName, "the limit of team %s is already in row %d", row.name, t.limitRow)
		return
	}
	t.limitRow = row.row
	limit, err := strconv.Atoi(row.value)
	if err != nil || limit < 0 || limit > maxLimit {
		r.fault(row.row, columnValue, "limit %q: want a whole number from 0 to %d", row.value, maxLimit)
		return
	}
	t.team.limit = limit
}

// readKey reads a key row. A fault does not repeat the value, because it may
// be a secret.
func (r *dailyReader) readKey(row dailyRow) {
	hash, ok := r.readHash(row)
	if row.state != "" && row.state != keyValid && row.state != keyWithdrawn {
		r.fault(row.row, columnState, "found %q, want valid or withdrawn", row.state)
		return
	}
	if !ok {
		return
	}
	if held, twice := r.daily.keys[hash]; twice {
		r.fault(row.row, columnValue, "the key is already in row %d", held.row)
		return
	}
	key := NewKey(hash, order.TeamName(row.name)).WithWithdrawn(row.state == keyWithdrawn)
	r.daily.keys[hash] = dailyKey{key: key, row: row.row}
}

func (r *dailyReader) readHash(row dailyRow) (string, bool) {
	if hash, ok := strings.CutPrefix(row.value, hashPrefix); ok {
		hash = strings.ToLower(hash)
		if !hashPattern.MatchString(hash) {
			r.fault(row.row, columnValue, "want 64 hexadecimal digits after %s", hashPrefix)
			return "", false
		}
		return hash, true
	}
	if secret, ok := strings.CutPrefix(row.value, secretPrefix); ok {
		if len(secret) < minSecret {
			r.fault(row.row, columnValue, "want at least %d characters after %s", minSecret, secretPrefix)
			return "", false
		}
		return HashKey(secret), true
	}
	r.fault(row.row, columnValue, "a key must begin with %s or %s", hashPrefix, secretPrefix)
	return "", false
}

func (r *dailyReader) checkTeams() {
	for name, t := range r.daily.teams {
		if t.shareRow == 0 {
			r.fault(t.row, columnName, "no share row for team %s", name)
		}
		if t.limitRow == 0 {
			r.fault(t.row, columnName, "no limit row for team %s", name)
		}
	}
}

func (r *dailyReader) mustBeEmpty(row int, column, value string) {
	if value != "" {
		r.fault(row, column, "found %q, want it empty", value)
	}
}

func (r *dailyReader) fault(row int, column, format string, args ...any) {
	r.faults = append(r.faults, Fault{row: row, column: column, reason: fmt.Sprintf(format, args...)})
}

func (r *dailyReader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return newFaultsError(r.faults)
}

func newFaultsError(faults []Fault) *FaultsError {
	sort.Slice(faults, func(i, j int) bool {
		if faults[i].row != faults[j].row {
			return faults[i].row < faults[j].row
		}
		return faults[i].String() < faults[j].String()
	})
	return &FaultsError{faults: faults}
}
