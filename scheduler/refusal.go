package scheduler

import (
	"time"

	"chervilhollow/order"
)

type (
	// refusals remembers the submissions that were refused. An entry host sends
	// a call again if the reply is late, and the later copy may arrive when the
	// cause of the refusal is over. It must not be accepted then: the caller
	// has been told that the job never runs. A caller's own retry is a new call.
	refusals map[callKey]refusal

	// callKey identifies a call among those of all entry hosts.
	callKey struct {
		from order.MemberID
		call uint64
	}

	refusal struct {
		code      order.Code
		refusedAt time.Time
	}
)

// refusalMemory is how long a refusal is remembered. An entry host repeats no
// call after its deadline.
const refusalMemory = 15 * time.Second

// add records that the call was refused with the code.
func (r refusals) add(now time.Time, from order.MemberID, call uint64, code order.Code) {
	r[callKey{from, call}] = refusal{code: code, refusedAt: now}
}

// find returns the code with which the call was refused.
func (r refusals) find(from order.MemberID, call uint64) (order.Code, bool) {
	found, ok := r[callKey{from, call}]
	return found.code, ok
}

// expire forgets the refusals that are older than refusalMemory.
func (r refusals) expire(now time.Time) {
	for key, found := range r {
		if now.Sub(found.refusedAt) > refusalMemory {
			delete(r, key)
		}
	}
}
