package harbour

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/order"
)

const (
	// MaxStandbys is the number of standbys that a process uses for all its
	// partitions, so that the number of pairs grows with the number of
	// processes and not with its square.
	MaxStandbys = 3

	// A member counts for moves only after it has lived this long, so that a
	// process that restarts again and again attracts no partitions.
	settled = 5 * time.Second

	// A process gives no promise for V after its start, so it serves as a
	// standby only some time after its record was seen. Until then the owner
	// may have no standby at all and would stop in a store outage, so the time
	// is short: the deadline that the owner keeps while it names a standby,
	// V after the write, covers the rest.
	standbySettled = 500 * time.Millisecond
)

// preferred returns the process that should own the partition.
func (c *protocol) preferred(id order.PartitionID) order.MemberID {
	return c.best(id, c.candidates(func(member) bool { return true }))
}

// preferredSettled is like preferred among the processes that have lived for a
// while and are not suspected.
func (c *protocol) preferredSettled(now time.Time, id order.PartitionID) order.MemberID {
	return c.best(id, c.candidates(func(m member) bool {
		return now.Sub(m.since) >= settled && !c.suspected(m.id)
	}))
}

// candidates returns this process and the other live placers that pass.
func (c *protocol) candidates(pass func(member) bool) []member {
	found := []member{{id: c.self, domain: c.domain}}
	for _, m := range c.live {
		if pass(m) {
			found = append(found, m)
		}
	}
	return found
}

// best returns the highest by rendezvous hash. For a group, processes in its
// failure domain come first.
func (c *protocol) best(id order.PartitionID, found []member) order.MemberID {
	group, isGroup := id.Group()
	var (
		top      member
		topLocal bool
		topScore uint64
	)
	for _, m := range found {
		local := isGroup && m.domain == group.Domain()
		score := affinity(string(id), m.id)
		if top.id == "" || better(local, topLocal, score, topScore, m.id, top.id) {
			top, topLocal, topScore = m, local, score
		}
	}
	return top.id
}

func better(local, topLocal bool, score, topScore uint64, id, topID order.MemberID) bool {
	if local != topLocal {
		return local
	}
	if score != topScore {
		return score > topScore
	}
	return id < topID
}

// chooseStandby returns the standby for a partition that this process owns or
// is about to own, empty if there is none.
func (c *protocol) chooseStandby(id order.PartitionID) order.MemberID {
	return c.pick(id, c.standbys(c.self, c.domain, c.inUse))
}

// chooseStandbyFor returns the standby for a partition that another process
// will own.
func (c *protocol) chooseStandbyFor(id order.PartitionID, owner order.MemberID) order.MemberID {
	return c.pick(id, c.standbys(owner, c.live[owner].domain, nil))
}

// standbys returns the few processes that serve the owner as standbys: those
// that it already uses, then the highest by rendezvous hash. They are in other
// failure domains than the owner if any such process lives.
func (c *protocol) standbys(owner order.MemberID, domain order.DomainName, inUse map[order.MemberID]int) []order.MemberID {
	var far, near []member
	for _, m := range c.candidates(func(member) bool { return true }) {
		switch {
		case m.id == owner || c.suspected(m.id) || (m.id == c.self && c.leaving):
		case m.id != c.self && c.followed.Sub(m.since) < standbySettled:
		case m.domain != domain:
			far = append(far, m)
		default:
			near = append(near, m)
		}
	}
	found := far
	if len(found) == 0 {
		found = near
	}
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if (inUse[a.id] > 0) != (inUse[b.id] > 0) {
			return inUse[a.id] > 0
		}
		if c.promises(a) != c.promises(b) {
			return c.promises(a)
		}
		return better(false, false, affinity(owner.Address(), a.id), affinity(owner.Address(), b.id), a.id, b.id)
	})
	ids := make([]order.MemberID, 0, MaxStandbys)
	for _, m := range found[:min(len(found), MaxStandbys)] {
		ids = append(ids, m.id)
	}
	return ids
}

// promises reports whether the process is past the time after its start in
// which it gives no promise.
func (c *protocol) promises(m member) bool {
	return m.id == c.self || c.followed.Sub(m.since) >= standbyValidity
}

// pick spreads the partitions over the standbys.
func (c *protocol) pick(id order.PartitionID, standbys []order.MemberID) order.MemberID {
	var top order.MemberID
	for _, m := range standbys {
		if top == "" || better(false, false, affinity(string(id), m), affinity(string(id), top), m, top) {
			top = m
		}
	}
	return top
}

// standbysInUse returns the number of own partitions of each standby.
func (c *protocol) standbysInUse() map[order.MemberID]int {
	inUse := make(map[order.MemberID]int)
	for _, p := range c.owned {
		standby := p.record.standby
		if p.pending != nil {
			standby = p.pending.record.standby
		}
		if standby != "" {
			inUse[standby]++
		}
	}
	return inUse
}

func (c *protocol) suspected(id order.MemberID) bool {
	_, ok := c.suspects[id]
	return ok
}

// affinity is the rendezvous hash. It uses the address, so that a process that
// restarts in place keeps its partitions.
func affinity(key string, id order.MemberID) uint64 {
	return xxhash.Sum64String(key + "\x00" + id.Address())
}
