package sheet

import (
	"fmt"
	"slices"
	"sort"

	"chervilhollow/order"
)

// Edits returns the edits that bring the configuration to the state of the
// sheet, and a note for each row without effect. Teams that are not in the
// sheet are removed; keys and domains that are not in it stay unchanged. A
// withdrawn key stays withdrawn, and a domain that an operator closed stays
// closed. A key that already belongs to another team is a fault of the sheet.
func (d *DailySheet) Edits(c *Config) ([]Edit, []string, error) {
	edits := d.teamEdits(c)
	keys, notes, err := d.keyEdits(c)
	if err != nil {
		return nil, nil, err
	}
	domains, domainNotes := d.domainEdits(c)
	edits = append(append(edits, keys...), domains...)
	return edits, append(notes, domainNotes...), nil
}

func (d *DailySheet) teamEdits(c *Config) []Edit {
	var edits []Edit
	for _, name := range sortedTeams(d.teams) {
		team := d.teams[name].team
		if existing, ok := c.teams[name]; !ok || !existing.equal(team) {
			edits = append(edits, SetTeam(team))
		}
	}
	for _, existing := range c.Teams() {
		if _, ok := d.teams[existing.name]; !ok {
			edits = append(edits, RemoveTeam(existing.name))
		}
	}
	return edits
}

func (d *DailySheet) keyEdits(c *Config) ([]Edit, []string, error) {
	var (
		edits  []Edit
		notes  []string
		faults []Fault
	)
	for _, hash := range d.sortedKeys() {
		row := d.keys[hash]
		existing, ok := c.keys[hash]
		switch {
		case ok && existing.team != row.key.team:
			reason := fmt.Sprintf("the key belongs to team %s", existing.team)
			faults = append(faults, Fault{row: row.row, column: columnValue, reason: reason})
		case row.key.withdrawn && !existing.withdrawn:
			edits = append(edits, WithdrawKey(row.key))
		case !row.key.withdrawn && existing.withdrawn:
			notes = append(notes, fmt.Sprintf("row %d: the key was withdrawn and stays withdrawn", row.row))
		case !ok:
			edits = append(edits, AddKey(row.key))
		}
	}
	if len(faults) > 0 {
		return nil, nil, newFaultsError(faults)
	}
	return edits, notes, nil
}

func (d *DailySheet) domainEdits(c *Config) ([]Edit, []string) {
	var (
		edits []Edit
		notes []string
	)
	for _, name := range sortedDomains(d.domains) {
		row := d.domains[name]
		switch {
		case row.open == c.DomainOpen(name):
		case row.open && c.ClosedBy(name) == SourceOperator:
			notes = append(notes, fmt.Sprintf("row %d: an operator took domain %s out; it stays out", row.row, name))
		default:
			edits = append(edits, SetDomain(name, row.open, SourceSheet))
		}
	}
	return edits, notes
}

func (t Team) equal(other Team) bool {
	return t.name == other.name && t.share == other.share && t.limit == other.limit &&
		slices.Equal(t.domains, other.domains)
}

func sortedTeams(teams map[order.TeamName]*dailyTeam) []order.TeamName {
	names := make([]order.TeamName, 0, len(teams))
	for name := range teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortedDomains(domains map[order.DomainName]dailyDomain) []order.DomainName {
	names := make([]order.DomainName, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sortedKeys returns the hashes in order of row.
func (d *DailySheet) sortedKeys() []string {
	hashes := make([]string, 0, len(d.keys))
	for hash := range d.keys {
		hashes = append(hashes, hash)
	}
	sort.Slice(hashes, func(i, j int) bool { return d.keys[hashes[i]].row < d.keys[hashes[j]].row })
	return hashes
}
