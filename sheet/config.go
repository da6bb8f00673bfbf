// Package sheet holds the operators' configuration: teams, keys, shares,
// limits and failure domains.
package sheet

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"chervilhollow/order"
)

type (
	// KeyState tells whether a key may be used.
	KeyState uint8

	// Key is the hash of a secret that a team's submitters show.
	Key struct {
		hash      string
		team      order.TeamName
		withdrawn bool
	}

	// Team is one group of submitters with a common share and limit.
	Team struct {
		name    order.TeamName
		share   float64
		limit   int
		domains []order.DomainName
	}

	// Config is one revision of the configuration. It is never changed after
	// it was built.
	Config struct {
		revision order.Revision
		teams    map[order.TeamName]Team
		keys     map[string]Key
		closed   map[order.DomainName]bool
	}
)

// States of a key.
const (
	KeyUnknown KeyState = iota
	KeyValid
	KeyWithdrawn
)

// HashKey returns the stored form of a key's secret.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewTeam returns a team. No domains means that it may use all.
func NewTeam(name order.TeamName, share float64, limit int, domains ...order.DomainName) Team {
	return Team{name: name, share: share, limit: limit, domains: domains}
}

// Name returns the name of the team.
func (t Team) Name() order.TeamName { return t.name }

// Share returns the weight of the team when everything is full.
func (t Team) Share() float64 { return t.share }

// Limit returns how many tasks the team may have running.
func (t Team) Limit() int { return t.limit }

// Domains returns the failure domains that the team may use; none means all.
func (t Team) Domains() []order.DomainName { return t.domains }

// MayUse reports whether the team may use the failure domain.
func (t Team) MayUse(domain order.DomainName) bool {
	if len(t.domains) == 0 {
		return true
	}
	for _, allowed := range t.domains {
		if allowed == domain {
			return true
		}
	}
	return false
}

// NewKey returns the key of a team for a hashed secret.
func NewKey(hash string, team order.TeamName) Key {
	return Key{hash: hash, team: team}
}

// Hash returns the hash of the secret.
func (k Key) Hash() string { return k.hash }

// Team returns the team that the key belongs to.
func (k Key) Team() order.TeamName { return k.team }

// Withdrawn reports whether operators withdrew the key.
func (k Key) Withdrawn() bool { return k.withdrawn }

// WithWithdrawn returns a copy of the key that is or is not withdrawn.
func (k Key) WithWithdrawn(withdrawn bool) Key {
	k.withdrawn = withdrawn
	return k
}

// NewConfig returns an empty configuration.
func NewConfig(revision order.Revision) *Config {
	return &Config{
		revision: revision,
		teams:    make(map[order.TeamName]Team),
		keys:     make(map[string]Key),
		closed:   make(map[order.DomainName]bool),
	}
}

// WithRevision returns a copy with another revision.
func (c *Config) WithRevision(revision order.Revision) *Config {
	n := c.copy()
	n.revision = revision
	return n
}

// WithTeam returns a copy with the team added or replaced.
func (c *Config) WithTeam(t Team) *Config {
	n := c.copy()
	n.teams[t.name] = t
	return n
}

// WithKey returns a copy with the key added or replaced.
func (c *Config) WithKey(k Key) *Config {
	n := c.copy()
	n.keys[k.hash] = k
	return n
}

// WithDomain returns a copy with the failure domain open or closed.
func (c *Config) WithDomain(name order.DomainName, open bool) *Config {
	n := c.copy()
	n.closed[name] = !open
	return n
}

// Revision returns the number of the configuration.
func (c *Config) Revision() order.Revision { return c.revision }

// Team returns the team with the given name.
func (c *Config) Team(name order.TeamName) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns all teams in order of name.
func (c *Config) Teams() []Team {
	teams := make([]Team, 0, len(c.teams))
	for _, t := range c.teams {
		teams = append(teams, t)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].name < teams[j].name })
	return teams
}

// Keys returns all keys in order of hash.
func (c *Config) Keys() []Key {
	keys := make([]Key, 0, len(c.keys))
	for _, k := range c.keys {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].hash < keys[j].hash })
	return keys
}

// DomainOpen reports whether work may start in the failure domain. A domain
// that the configuration does not name is open.
func (c *Config) DomainOpen(name order.DomainName) bool { return !c.closed[name] }

// ClosedDomains returns the failure domains that operators took out.
func (c *Config) ClosedDomains() []order.DomainName {
	var names []order.DomainName
	for name, closed := range c.closed {
		if closed {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Authenticate returns the team that the secret belongs to.
func (c *Config) Authenticate(secret string) (order.TeamName, KeyState) {
	key, ok := c.keys[HashKey(secret)]
	switch {
	case !ok:
		return "", KeyUnknown
	case key.withdrawn:
		return key.team, KeyWithdrawn
	}
	return key.team, KeyValid
}

func (c *Config) copy() *Config {
	n := NewConfig(c.revision)
	for name, t := range c.teams {
		n.teams[name] = t
	}
	for hash, k := range c.keys {
		n.keys[hash] = k
	}
	for name, closed := range c.closed {
		n.closed[name] = closed
	}
	return n
}
