package sheet

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"

	"chervilhollow/order"
)

type (
	// Edit is one step of a change to the configuration. Only this package
	// implements it; see SetTeam and the functions after it.
	Edit interface {
		fmt.Stringer

		// check returns an error if the edit is not valid for the
		// configuration.
		check(c *Config) error

		// apply changes the configuration itself, which must be a copy that
		// is still being built.
		apply(c *Config)

		document() editDocument
	}

	teamEdit       struct{ team Team }
	removeTeamEdit struct{ name order.TeamName }
	keyEdit        struct{ key Key }
	deleteKeyEdit  struct{ hash string }
	domainEdit     struct {
		name   order.DomainName
		open   bool
		source Source
	}

	// editDocument is the JSON form of an edit. Exactly one field is set.
	editDocument struct {
		Team       *teamDocument   `json:"team,omitempty"`
		RemoveTeam order.TeamName  `json:"remove_team,omitempty"`
		Key        *keyDocument    `json:"key,omitempty"`
		DeleteKey  string          `json:"forget_key,omitempty"`
		Domain     *domainDocument `json:"domain,omitempty"`
	}
)

const (
	// maxLimit is the largest limit on the running tasks of a team.
	maxLimit  = 1_000_000_000
	nameRules = "want letters, digits, dots, dashes and underscores, at most 64"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	// ErrUnknownEdit reports an edit that this version does not support. The
	// process stays at its revision, which delays the acceptance of the
	// change.
	ErrUnknownEdit = errors.New("unknown edit")
)

// SetTeam adds or replaces a team.
func SetTeam(team Team) Edit { return teamEdit{team: team} }

// RemoveTeam removes a team. Its keys count as withdrawn afterwards.
func RemoveTeam(name order.TeamName) Edit { return removeTeamEdit{name: name} }

// AddKey adds a valid key. A key that is recorded as withdrawn stays
// withdrawn.
func AddKey(key Key) Edit { return keyEdit{key: key.WithWithdrawn(false)} }

// WithdrawKey records a key as withdrawn, also one that was not added before.
func WithdrawKey(key Key) Edit { return keyEdit{key: key.WithWithdrawn(true)} }

// DeleteWithdrawnKey deletes the record of a withdrawn key, which makes the
// configuration smaller. The key stays unusable unless it is added again.
func DeleteWithdrawnKey(hash string) Edit { return deleteKeyEdit{hash: hash} }

// SetDomain opens or closes a failure domain. The source is recorded with a
// closed domain.
func SetDomain(name order.DomainName, open bool, source Source) Edit {
	return domainEdit{name: name, open: open, source: source}
}

// String implements fmt.Stringer.
func (e teamEdit) String() string {
	text := fmt.Sprintf("set team %s share %g limit %d", e.team.name, e.team.share, e.team.limit)
	if len(e.team.domains) == 0 {
		return text
	}
	names := make([]string, 0, len(e.team.domains))
	for _, name := range e.team.domains {
		names = append(names, string(name))
	}
	return text + " domains " + strings.Join(names, ",")
}

// String implements fmt.Stringer.
func (e removeTeamEdit) String() string { return "remove team " + string(e.name) }

// String implements fmt.Stringer.
func (e keyEdit) String() string {
	if e.key.withdrawn {
		return fmt.Sprintf("withdraw key %s of team %s", e.key.hash, e.key.team)
	}
	return fmt.Sprintf("give key %s to team %s", e.key.hash, e.key.team)
}

// String implements fmt.Stringer.
func (e deleteKeyEdit) String() string { return "forget withdrawn key " + e.hash }

// String implements fmt.Stringer.
func (e domainEdit) String() string {
	if e.open {
		return fmt.Sprintf("bring domain %s back", e.name)
	}
	return fmt.Sprintf("take domain %s out", e.name)
}

func (e teamEdit) check(*Config) error {
	if err := checkName("team", string(e.team.name)); err != nil {
		return err
	}
	if err := checkShare(e.team.share); err != nil {
		return fmt.Errorf("team %s: %w", e.team.name, err)
	}
	if e.team.limit < 0 || e.team.limit > maxLimit {
		return fmt.Errorf("team %s: limit %d, want 0 to %d", e.team.name, e.team.limit, maxLimit)
	}
	for _, name := range e.team.domains {
		if err := checkName("domain", string(name)); err != nil {
			return fmt.Errorf("team %s: %w", e.team.name, err)
		}
	}
	return nil
}

func (e removeTeamEdit) check(c *Config) error {
	if _, ok := c.teams[e.name]; !ok {
		return fmt.Errorf("no team %s", e.name)
	}
	return nil
}

func (e keyEdit) check(c *Config) error {
	if !hashPattern.MatchString(e.key.hash) {
		return errors.New("key hash: want 64 hexadecimal digits")
	}
	existing, ok := c.keys[e.key.hash]
	if ok && existing.team != e.key.team {
		return fmt.Errorf("key %s belongs to team %s", e.key.hash, existing.team)
	}
	if ok {
		return nil
	}
	if _, exists := c.teams[e.key.team]; !exists {
		return fmt.Errorf("no team %s", e.key.team)
	}
	return nil
}

func (e deleteKeyEdit) check(c *Config) error {
	if !c.keys[e.hash].withdrawn {
		return fmt.Errorf("no withdrawn key %s", e.hash)
	}
	return nil
}

func (e domainEdit) check(*Config) error { return checkName("domain", string(e.name)) }

func (e teamEdit) apply(c *Config) { c.teams[e.team.name] = e.team }

func (e removeTeamEdit) apply(c *Config) { delete(c.teams, e.name) }

func (e keyEdit) apply(c *Config) {
	withdrawn := c.keys[e.key.hash].withdrawn || e.key.withdrawn
	c.keys[e.key.hash] = e.key.WithWithdrawn(withdrawn)
}

func (e deleteKeyEdit) apply(c *Config) { delete(c.keys, e.hash) }

func (e domainEdit) apply(c *Config) { c.setDomain(e.name, e.open, e.source) }

func (e teamEdit) document() editDocument {
	d := e.team.document()
	return editDocument{Team: &d}
}

func (e removeTeamEdit) document() editDocument { return editDocument{RemoveTeam: e.name} }

func (e keyEdit) document() editDocument {
	d := e.key.document()
	return editDocument{Key: &d}
}

func (e deleteKeyEdit) document() editDocument { return editDocument{DeleteKey: e.hash} }

func (e domainEdit) document() editDocument {
	return editDocument{Domain: &domainDocument{Name: e.name, Open: e.open, By: e.source}}
}

func (d editDocument) toEdit() (Edit, error) {
	switch {
	case d.Team != nil:
		return teamEdit{team: d.Team.toTeam()}, nil
	case d.RemoveTeam != "":
		return removeTeamEdit{name: d.RemoveTeam}, nil
	case d.Key != nil:
		return keyEdit{key: d.Key.toKey()}, nil
	case d.DeleteKey != "":
		return deleteKeyEdit{hash: d.DeleteKey}, nil
	case d.Domain != nil:
		return domainEdit{name: d.Domain.Name, open: d.Domain.Open, source: d.Domain.By}, nil
	}
	return nil, ErrUnknownEdit
}

func checkName(what, name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%s name %q: %s", what, name, nameRules)
	}
	return nil
}

func checkShare(share float64) error {
	if !(share > 0) || math.IsInf(share, 0) {
		return fmt.Errorf("share %g: want a number above zero", share)
	}
	return nil
}
