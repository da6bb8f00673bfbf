// Package policy holds the operators' configuration of queues and teams: which
// keys may submit jobs to which queue, and how many resources the jobs of each
// team may use. Start at Config, which is one immutable version of it.
package policy

import (
	"sort"
	"strings"
	"time"

	"chervilhollow/order"
)

type (
	// Queue accepts the calls for one host name and path prefix. Its tasks run
	// on the workers of one service.
	Queue struct {
		name        order.QueueName
		host        string
		prefix      string
		service     string
		priority    int
		maxAttempts int
		stretch     float64
		target      time.Duration
		anonymous   bool
		advice      Advice
	}

	// Advice holds the times of the placement advice service for a queue. The
	// zero value means that the queue needs no advice.
	Advice struct {
		callTime       time.Duration
		timePerWorker  time.Duration
		ticketValidity time.Duration
	}

	// Team is a group of clients with its API keys, weight and limit.
	Team struct {
		name   order.TeamName
		keys   []string
		weight float64
		limit  order.Resources
	}

	// Config is one version of the configuration. It is immutable.
	Config struct {
		revision  order.Revision
		queues    []Queue
		teams     map[order.TeamName]Team
		byKey     map[string]order.TeamName
		bodyLimit int64
	}
)

// DefaultBodyLimit is the size of the largest request body in bytes, if the
// operators set no other.
const DefaultBodyLimit = 256 << 10

// NewQueue returns a queue for the calls to the host whose path begins with the
// prefix. Its tasks get one attempt, and its objective has the stretch 1.
func NewQueue(name order.QueueName, host, prefix, service string) Queue {
	return Queue{name: name, host: host, prefix: prefix, service: service, maxAttempts: 1, stretch: 1}
}

// WithPriority returns a copy with the priority. Zero is the highest.
func (q Queue) WithPriority(priority int) Queue {
	q.priority = priority
	return q
}

// WithAttempts returns a copy with the number of failed attempts of a task that
// makes its job fail, which is at least one.
func (q Queue) WithAttempts(attempts int) Queue {
	q.maxAttempts = max(1, attempts)
	return q
}

// WithObjective returns a copy with the objective for the time to completion:
// stretch times the estimated length of the job's critical path, plus target.
func (q Queue) WithObjective(stretch float64, target time.Duration) Queue {
	q.stretch, q.target = stretch, target
	return q
}

// WithAnonymous returns a copy that accepts calls without a key, or doesn't.
func (q Queue) WithAnonymous(anonymous bool) Queue {
	q.anonymous = anonymous
	return q
}

// WithAdvice returns a copy whose steps need placement advice, unless it is
// zero.
func (q Queue) WithAdvice(a Advice) Queue {
	q.advice = a
	return q
}

// NewAdvice returns the times of the advice service: how long a call takes, how
// much longer for each worker in it, and how long a ticket is valid.
func NewAdvice(callTime, timePerWorker, ticketValidity time.Duration) Advice {
	return Advice{callTime: callTime, timePerWorker: timePerWorker, ticketValidity: ticketValidity}
}

// NewTeam returns a team. Zero amounts in the limit mean no limit.
func NewTeam(name order.TeamName, keys []string, weight float64, limit order.Resources) Team {
	return Team{name: name, keys: keys, weight: weight, limit: limit}
}

// NewConfig returns the version of the configuration with the revision. Its
// body limit is DefaultBodyLimit.
func NewConfig(revision order.Revision, queues []Queue, teams []Team) *Config {
	c := &Config{
		revision:  revision,
		queues:    append([]Queue(nil), queues...),
		teams:     make(map[order.TeamName]Team, len(teams)),
		byKey:     make(map[string]order.TeamName),
		bodyLimit: DefaultBodyLimit,
	}
	// Route returns the first match, so the longest prefixes come first.
	sort.SliceStable(c.queues, func(i, j int) bool { return len(c.queues[i].prefix) > len(c.queues[j].prefix) })
	for _, t := range teams {
		c.teams[t.name] = t
		for _, key := range t.keys {
			c.byKey[key] = t.name
		}
	}
	return c
}

// WithBodyLimit returns a copy with the size of the largest request body in
// bytes. Zero keeps the present limit.
func (c *Config) WithBodyLimit(limit int64) *Config {
	changed := *c
	if limit > 0 {
		changed.bodyLimit = limit
	}
	return &changed
}

// BodyLimit returns the size of the largest request body in bytes.
func (c *Config) BodyLimit() int64 { return c.bodyLimit }

// Revision returns the revision of this version.
func (c *Config) Revision() order.Revision { return c.revision }

// Route returns the queue of the host with the longest matching prefix, and the
// rest of the path. It reports false if there is none.
func (c *Config) Route(host, path string) (Queue, string, bool) {
	for _, q := range c.queues {
		if q.host == host && strings.HasPrefix(path, q.prefix) {
			return q, path[len(q.prefix):], true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with the name. It reports false if there is none.
func (c *Config) Queue(name order.QueueName) (Queue, bool) {
	for _, q := range c.queues {
		if q.name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Successor returns the queue that an earlier queue has become: the one at its
// address, with its service or its name. A queue of its name at another address
// is another one. It reports false if there is none.
func (c *Config) Successor(earlier Queue) (Queue, bool) {
	for _, q := range c.queues {
		if q.SameAddress(earlier) && (q.service == earlier.service || q.name == earlier.name) {
			return q, true
		}
	}
	return Queue{}, false
}

// TopPriority returns the priority of the most urgent queue of the service, and
// zero if it has none.
func (c *Config) TopPriority(service string) int {
	top, found := 0, false
	for _, q := range c.queues {
		if q.service == service && (!found || q.priority < top) {
			top, found = q.priority, true
		}
	}
	return top
}

// TeamOf returns the team of an API key. It reports false for an unknown key.
func (c *Config) TeamOf(key string) (order.TeamName, bool) {
	team, ok := c.byKey[key]
	return team, ok
}

// Limit returns how many resources the team's running tasks may use in total. A
// zero amount means no limit, and so does an unknown team.
func (c *Config) Limit(team order.TeamName) order.Resources { return c.teams[team].limit }

// HasTeam reports whether the configuration has the team.
func (c *Config) HasTeam(team order.TeamName) bool {
	_, ok := c.teams[team]
	return ok
}

// Weight returns the fair-share weight of the team, or zero if it is unknown.
func (c *Config) Weight(team order.TeamName) float64 { return c.teams[team].weight }

// Name returns the unique name of the queue.
func (q Queue) Name() order.QueueName { return q.name }

// Host returns the host name of the calls that the queue accepts.
func (q Queue) Host() string { return q.host }

// Prefix returns the path prefix of the calls that the queue accepts.
func (q Queue) Prefix() string { return q.prefix }

// SameAddress reports whether both queues accept the calls for the same host
// name and path prefix.
func (q Queue) SameAddress(other Queue) bool { return q.host == other.host && q.prefix == other.prefix }

// Service returns the name of the worker pool that runs the tasks.
func (q Queue) Service() string { return q.service }

// Priority returns the priority. Zero is the highest.
func (q Queue) Priority() int { return q.priority }

// MaxAttempts returns how many failed attempts of a task make its job fail.
func (q Queue) MaxAttempts() int { return q.maxAttempts }

// Stretch returns the factor of the critical path in the objective.
func (q Queue) Stretch() float64 { return q.stretch }

// Target returns the constant part of the objective.
func (q Queue) Target() time.Duration { return q.target }

// Anonymous reports whether the queue accepts calls without a key.
func (q Queue) Anonymous() bool { return q.anonymous }

// Advice returns the times of the advice service for the queue.
func (q Queue) Advice() Advice { return q.advice }

// Needed reports whether starts in the queue need a ticket of the service.
func (a Advice) Needed() bool { return a != Advice{} }

// CallTime returns how long a call takes that names no workers.
func (a Advice) CallTime() time.Duration { return a.callTime }

// TimePerWorker returns how much longer a call takes for each worker in it.
func (a Advice) TimePerWorker() time.Duration { return a.timePerWorker }

// Validity returns how long a ticket is valid.
func (a Advice) Validity() time.Duration { return a.ticketValidity }

// Duration returns how long the service takes for a call about that many
// workers.
func (a Advice) Duration(workers int) time.Duration {
	return a.callTime + time.Duration(workers)*a.timePerWorker
}

// MaxWorkersPerCall returns for how many workers in a call the time that
// depends on their number equals the constant time of the call.
func (a Advice) MaxWorkersPerCall() int {
	if a.timePerWorker <= 0 {
		return 1 << 16
	}
	return int(a.callTime / a.timePerWorker)
}
