// Package roster holds the membership of the system's processes and the
// workers that the platform's host list shows.
package roster

import "chervilhollow/order"

type (
	// Worker is one host that runs tasks, as the host list shows it.
	Worker struct {
		id          order.WorkerID
		url         string
		domain      order.DomainName
		rack        string
		size        order.Resources
		slots       int
		connections int
		fenced      bool
		leaving     bool
	}

	// Member is one process of the system.
	Member struct {
		id     order.MemberID
		role   order.Role
		domain order.DomainName
		admin  string
	}
)

// NewWorker returns a worker that is reached at the URL.
func NewWorker(id order.WorkerID, url string, domain order.DomainName, rack string) Worker {
	return Worker{id: id, url: url, domain: domain, rack: rack}
}

// WithSize returns a copy with the size and the slots and connections set.
func (w Worker) WithSize(size order.Resources, slots, connections int) Worker {
	w.size = size
	w.slots = slots
	w.connections = connections
	return w
}

// WithFenced returns a copy that checks epochs or does not.
func (w Worker) WithFenced(fenced bool) Worker {
	w.fenced = fenced
	return w
}

// WithLeaving returns a copy that is leaving or not.
func (w Worker) WithLeaving(leaving bool) Worker {
	w.leaving = leaving
	return w
}

// ID returns the name of the worker.
func (w Worker) ID() order.WorkerID { return w.id }

// URL returns the base URL of the worker's protocol.
func (w Worker) URL() string { return w.url }

// Domain returns the failure domain of the worker.
func (w Worker) Domain() order.DomainName { return w.domain }

// Group returns the worker group: the rack within the failure domain.
func (w Worker) Group() order.GroupID { return order.NewGroupID(w.domain, w.rack) }

// Size returns the processors, memory and accelerators of the worker.
func (w Worker) Size() order.Resources { return w.size }

// Slots returns how many tasks the worker can run.
func (w Worker) Slots() int { return w.slots }

// Connections returns how many connections the worker accepts.
func (w Worker) Connections() int { return w.connections }

// Fenced reports whether the worker rejects starts of an older epoch.
func (w Worker) Fenced() bool { return w.fenced }

// Leaving reports whether the worker must get no new work.
func (w Worker) Leaving() bool { return w.leaving }

// NewMember returns a process of the system; admin is the address of its
// metrics and health endpoint.
func NewMember(id order.MemberID, role order.Role, domain order.DomainName, admin string) Member {
	return Member{id: id, role: role, domain: domain, admin: admin}
}

// ID returns the identifier of the process.
func (m Member) ID() order.MemberID { return m.id }

// Role returns the duty of the process.
func (m Member) Role() order.Role { return m.role }

// Domain returns the failure domain the process runs in.
func (m Member) Domain() order.DomainName { return m.domain }

// Admin returns the address of the metrics and health endpoint.
func (m Member) Admin() string { return m.admin }
