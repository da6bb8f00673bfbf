package ownership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/order"
)

const (
	// MaxStandbys is the number of standbys that a process uses for all of its
	// partitions. It makes the number of peers grow with the number of
	// processes and not with its square.
	MaxStandbys = 3

	// A member is a move target only after it has been registered this long, so
	// that a process that keeps restarting receives no partitions.
	minMemberAge = 5 * time.Second

	// A process gives no promises for PromiseValidity after its start, so it
	// becomes a standby only some time after its member record was seen. Until
	// then the owner may have no standby and would stop in a store outage, so
	// the delay is short. The rest is covered by the deadline that an owner
	// keeps when it names a standby, PromiseValidity after the write.
	minStandbyAge = 500 * time.Millisecond
)

// preferred returns the process that should own the partition.
func (c *protocol) preferred(id order.PartitionID) order.MemberID {
	return c.highestScore(id, c.candidates(func(member) bool { return true }))
}

// preferredStable is like preferred, but considers only this process and
// members that are older than minMemberAge and not suspected.
func (c *protocol) preferredStable(now time.Time, id order.PartitionID) order.MemberID {
	return c.highestScore(id, c.candidates(func(m member) bool {
		return now.Sub(m.since) >= minMemberAge && !c.isSuspected(m.id)
	}))
}

// candidates returns this process and the live placers for which pass returns
// true.
func (c *protocol) candidates(pass func(member) bool) []member {
	found := []member{{id: c.self, domain: c.domain}}
	for _, m := range c.liveMembers {
		if pass(m) {
			found = append(found, m)
		}
	}
	return found
}

// highestScore returns the member with the highest rendezvous hash. For a
// group, members in its failure domain come first.
func (c *protocol) highestScore(id order.PartitionID, members []member) order.MemberID {
	group, isGroup := id.Group()
	var (
		top           member
		topSameDomain bool
		topScore      uint64
	)
	for _, m := range members {
		sameDomain := isGroup && m.domain == group.Domain()
		score := rendezvousScore(string(id), m.id)
		if top.id == "" || ranksHigher(sameDomain, topSameDomain, score, topScore, m.id, top.id) {
			top, topSameDomain, topScore = m, sameDomain, score
		}
	}
	return top.id
}

// ranksHigher reports whether a member ranks above the current top: by failure
// domain, then by higher score, then by lower ID.
func ranksHigher(sameDomain, topSameDomain bool, score, topScore uint64, id, topID order.MemberID) bool {
	if sameDomain != topSameDomain {
		return sameDomain
	}
	if score != topScore {
		return score > topScore
	}
	return id < topID
}

// chooseStandby returns the standby for a partition that this process owns or
// is about to own, or an empty ID if there is none.
func (c *protocol) chooseStandby(id order.PartitionID) order.MemberID {
	return c.pickStandby(id, c.standbyCandidates(c.self, c.domain, c.standbyUse))
}

// chooseStandbyFor returns the standby for a partition that another process
// will own.
func (c *protocol) chooseStandbyFor(id order.PartitionID, owner order.MemberID) order.MemberID {
	return c.pickStandby(id, c.standbyCandidates(owner, c.liveMembers[owner].domain, nil))
}

// standbyCandidates returns up to MaxStandbys processes that may serve the
// owner as standbys: first those in use, then those that already give promises,
// then by rendezvous hash. They are in other failure domains than the owner if
// any such process is available.
func (c *protocol) standbyCandidates(owner order.MemberID, domain order.DomainName, inUse map[order.MemberID]int) []order.MemberID {
	var otherDomain, sameDomain []member
	for _, m := range c.candidates(func(member) bool { return true }) {
		switch {
		case m.id == owner || c.isSuspected(m.id) || (m.id == c.self && c.leaving):
		case m.id != c.self && c.membersCheckedAt.Sub(m.since) < minStandbyAge:
		case m.domain != domain:
			otherDomain = append(otherDomain, m)
		default:
			sameDomain = append(sameDomain, m)
		}
	}
	found := otherDomain
	if len(found) == 0 {
		found = sameDomain
	}
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if (inUse[a.id] > 0) != (inUse[b.id] > 0) {
			return inUse[a.id] > 0
		}
		if c.canPromise(a) != c.canPromise(b) {
			return c.canPromise(a)
		}
		return ranksHigher(false, false, rendezvousScore(owner.Address(), a.id), rendezvousScore(owner.Address(), b.id), a.id, b.id)
	})
	ids := make([]order.MemberID, 0, MaxStandbys)
	for _, m := range found[:min(len(found), MaxStandbys)] {
		ids = append(ids, m.id)
	}
	return ids
}

// canPromise reports whether the process has been registered long enough to
// give promises.
func (c *protocol) canPromise(m member) bool {
	return m.id == c.self || c.membersCheckedAt.Sub(m.since) >= standbyValidity
}

// pickStandby spreads partitions over the standbys by rendezvous hash.
func (c *protocol) pickStandby(id order.PartitionID, standbys []order.MemberID) order.MemberID {
	var top order.MemberID
	for _, m := range standbys {
		if top == "" || ranksHigher(false, false, rendezvousScore(string(id), m), rendezvousScore(string(id), top), m, top) {
			top = m
		}
	}
	return top
}

// countStandbyUse returns how many partitions of this process each standby
// serves, including pending writes.
func (c *protocol) countStandbyUse() map[order.MemberID]int {
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

func (c *protocol) isSuspected(id order.MemberID) bool {
	_, ok := c.suspects[id]
	return ok
}

// rendezvousScore is the rendezvous hash. It uses the address, so a process
// that restarts at the same address keeps its partitions.
func rendezvousScore(key string, id order.MemberID) uint64 {
	return xxhash.Sum64String(key + "\x00" + id.Address())
}
