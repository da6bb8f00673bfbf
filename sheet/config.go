// Package sheet holds the configuration that operators change: teams, their
// keys, shares and limits, and which failure domains are closed. An Editor
// changes it in the store, a Watcher follows it in every process, and
// ParseDailySheet reads the daily sheet from which it is imported. Start with
// Config and Edit.
package sheet

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"chervilhollow/order"
)

type (
	// KeyState is the result of the check of a key. Its zero value is
	// KeyUnknown.
	KeyState uint8

	// Key is an API key of a team. It holds the hash of the secret that
	// callers send, never the secret.
	Key struct {
		hash      string
		team      order.TeamName
		withdrawn bool
	}

	// Team is a group of callers with a common share of the cluster and a
	// common limit on running tasks.
	Team struct {
		name    order.TeamName
		share   float64
		limit   int
		domains []order.DomainName
	}

	// Source is who closed a failure domain. Zero means that it is open.
	Source uint8

	// Config is one revision of the configuration. It is immutable: the With
	// methods return copies, so that it may be used concurrently.
	Config struct {
		revision order.Revision
		teams    map[order.TeamName]Team
		keys     map[string]Key
		closed   map[order.DomainName]Source
	}
)

// Results of Config.Authenticate.
const (
	KeyUnknown KeyState = iota
	KeyValid
	KeyWithdrawn
)

// Sources of a closed failure domain. An import of the daily sheet does not
// reopen a domain that an operator closed, because the sheet may have been
// exported before that.
const (
	SourceSheet Source = iota + 1
	SourceOperator
)

// HashKey returns the SHA-256 hash of a key's secret in hexadecimal digits, as
// it is stored.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewTeam returns a team. The limit is its largest number of running tasks.
// Without domains it may use all failure domains.
func NewTeam(name order.TeamName, share float64, limit int, domains ...order.DomainName) Team {
	return Team{name: name, share: share, limit: limit, domains: domains}
}

// WithShare returns a copy with another share.
func (t Team) WithShare(share float64) Team {
	t.share = share
	return t
}

// WithLimit returns a copy with another limit.
func (t Team) WithLimit(limit int) Team {
	t.limit = limit
	return t
}

// WithDomains returns a copy with other failure domains; none means all.
func (t Team) WithDomains(domains ...order.DomainName) Team {
	t.domains = domains
	return t
}

// Name returns the unique name of the team.
func (t Team) Name() order.TeamName { return t.name }

// Share returns the fair share weight of the team, which counts while the
// cluster is full.
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

// Hash returns the hash of the secret as HashKey makes it.
func (k Key) Hash() string { return k.hash }

// Team returns the team that the key belongs to.
func (k Key) Team() order.TeamName { return k.team }

// Withdrawn reports whether operators withdrew the key.
func (k Key) Withdrawn() bool { return k.withdrawn }

// WithWithdrawn returns a copy that is withdrawn or valid.
func (k Key) WithWithdrawn(withdrawn bool) Key {
	k.withdrawn = withdrawn
	return k
}

// NewConfig returns a configuration without teams and keys, in which all
// failure domains are open.
func NewConfig(revision order.Revision) *Config {
	return &Config{
		revision: revision,
		teams:    make(map[order.TeamName]Team),
		keys:     make(map[string]Key),
		closed:   make(map[order.DomainName]Source),
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

// WithDomain returns a copy with the failure domain opened or closed by an
// operator.
func (c *Config) WithDomain(name order.DomainName, open bool) *Config {
	n := c.copy()
	n.setDomain(name, open, SourceOperator)
	return n
}

// Revision returns the revision, which each accepted change increases by one.
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
// that the configuration does not contain is open.
func (c *Config) DomainOpen(name order.DomainName) bool { return c.closed[name] == 0 }

// ClosedBy returns who closed the failure domain, or zero if it is open.
func (c *Config) ClosedBy(name order.DomainName) Source { return c.closed[name] }

// ClosedDomains returns the closed failure domains in order of name, whoever
// closed them.
func (c *Config) ClosedDomains() []order.DomainName {
	names := make([]order.DomainName, 0, len(c.closed))
	for name := range c.closed {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Key returns the key with the given hash.
func (c *Config) Key(hash string) (Key, bool) {
	k, ok := c.keys[hash]
	return k, ok
}

// Authenticate returns the team that the secret belongs to, and whether the key
// is valid. The keys of a removed team count as withdrawn.
func (c *Config) Authenticate(secret string) (order.TeamName, KeyState) {
	key, ok := c.keys[HashKey(secret)]
	switch {
	case !ok:
		return "", KeyUnknown
	case key.withdrawn:
		return key.team, KeyWithdrawn
	}
	if _, ok := c.teams[key.team]; !ok {
		return key.team, KeyWithdrawn
	}
	return key.team, KeyValid
}

// copy returns a copy that may be changed until it is returned to a caller.
func (c *Config) copy() *Config {
	n := NewConfig(c.revision)
	for name, t := range c.teams {
		n.teams[name] = t
	}
	for hash, k := range c.keys {
		n.keys[hash] = k
	}
	for name, source := range c.closed {
		n.closed[name] = source
	}
	return n
}

// setDomain changes the configuration itself, which must be a copy that is
// still being built.
func (c *Config) setDomain(name order.DomainName, open bool, source Source) {
	delete(c.closed, name)
	if !open {
		c.closed[name] = source
	}
}
