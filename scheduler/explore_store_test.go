// Models the store of PROTOCOL.md, section "The platform's metadata store".

package scheduler

import (
	"errors"
	"sort"
	"strings"
	"time"

	"chervilhollow/storage"
)

type (
	modelStore struct {
		world   *world
		entries map[string]storage.Entry
		version storage.Version
		up      bool

		// noReads and noWrites refuse the calls of one kind from a zone.
		noReads  [exploreZones]bool
		noWrites [exploreZones]bool
	}

	// modelCommit is a batch that is sent until it is certain whether it is stored.
	modelCommit struct {
		owner     *modelOwner
		cmd       CommitCmd
		uncertain bool
		delay     time.Duration
	}
)

const ownerKey = "cell/owner"

func (s *modelStore) reached(zone int) bool { return s.up && !s.world.network.storeCut[zone] }

// put stores a value without a condition.
func (s *modelStore) put(key string, value []byte) storage.Entry {
	s.version++
	s.entries[key] = storage.NewEntry(key, value, s.version)
	return s.entries[key]
}

// jobs returns the entries of all jobs.
func (s *modelStore) jobs() []storage.Entry {
	var jobs []storage.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, JobPrefix) {
			jobs = append(jobs, e)
		}
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].Key() < jobs[j].Key() })
	return jobs
}

// apply stores a batch if all that it expects holds.
func (s *modelStore) apply(b storage.Batch) error {
	for _, e := range b.Expected() {
		if s.entries[e.Key()].Version() != e.Version() {
			return storage.NewConflict(s.current(b))
		}
	}
	s.version++
	for _, e := range b.Writes() {
		s.entries[e.Key()] = storage.NewEntry(e.Key(), e.Value(), s.version)
	}
	for _, k := range b.Deletes() {
		delete(s.entries, k)
	}
	return nil
}

func (s *modelStore) current(b storage.Batch) []storage.Entry {
	var current []storage.Entry
	for _, e := range b.Expected() {
		if stored, ok := s.entries[e.Key()]; ok {
			current = append(current, stored)
		}
	}
	return current
}

func (s *modelStore) commit(o *modelOwner, cmd CommitCmd) {
	c := &modelCommit{owner: o, cmd: cmd, delay: minCommitBackoff}
	s.world.after(time.Millisecond+s.world.upTo(6*time.Millisecond), func() { s.try(c) })
}

func (s *modelStore) try(c *modelCommit) {
	w, o := s.world, c.owner
	if o.dead {
		return
	}
	if o.frozen(w.now) {
		w.after(o.frozenUntil.Sub(w.now), func() { s.try(c) })
		return
	}
	if !s.reached(o.zone) || s.noWrites[o.zone] {
		w.after(c.delay, func() { s.try(c) })
		c.delay = min(2*c.delay, maxCommitBackoff)
		return
	}
	sentAt := w.now
	err := s.apply(c.cmd.batch)
	version := s.version
	if w.network.lossy && w.chance(3) {
		c.uncertain = true
		w.after(commitRepeatDelay, func() { s.try(c) })
		return
	}
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		version, err = resolveConflict(c.cmd.batch, conflict, c.uncertain)
	}
	w.after(time.Millisecond+w.upTo(5*time.Millisecond), func() {
		switch {
		case errors.Is(err, ErrLost):
			o.kill("commit refused")
		case err != nil:
			w.checks.broke("DIVERGED", "owner %d: %v", o.epoch, err)
			o.kill("store diverged")
		default:
			o.handle(CommittedMsg{batchID: c.cmd.batchID, version: version, sentAt: sentAt})
		}
	})
}

// confirm reads the ownership record for an owner.
func (s *modelStore) confirm(o *modelOwner) {
	w, at := s.world, s.world.now
	if !s.reached(o.zone) || s.noReads[o.zone] {
		return
	}
	w.after(w.upTo(60*time.Millisecond), func() {
		current := s.entries[ownerKey].Version() == o.record.Version()
		w.after(w.upTo(200*time.Millisecond), func() {
			if current {
				o.handle(NewConfirmedMsg(o.epoch, at, 0))
			} else if !o.dead {
				o.kill("record changed")
			}
		})
	})
}
