// Package roster keeps track of the processes and hosts of the cluster.
// Membership registers this process in the store and lists all gates and
// placers, StateExchange sends their states to each other, and HostListClient
// fetches the platform's list of workers and entry hosts.
package roster

import "chervilhollow/order"

type (
	// Worker is a host that runs tasks, as described by the host list.
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

	// Member is the record of a gate or placer process.
	Member struct {
		id     order.MemberID
		role   order.Role
		domain order.DomainName
		admin  string
	}
)

// NewWorker returns a worker whose API is at the URL. Its size is zero until
// WithSize sets it.
func NewWorker(id order.WorkerID, url string, domain order.DomainName, rack string) Worker {
	return Worker{id: id, url: url, domain: domain, rack: rack}
}

// WithSize returns a copy with the resources, the slots and the connections.
func (w Worker) WithSize(size order.Resources, slots, connections int) Worker {
	w.size = size
	w.slots = slots
	w.connections = connections
	return w
}

// WithFenced returns a copy that sets whether the worker rejects starts of an
// older epoch.
func (w Worker) WithFenced(fenced bool) Worker {
	w.fenced = fenced
	return w
}

// WithLeaving returns a copy that sets whether the worker is leaving and must
// get no new tasks.
func (w Worker) WithLeaving(leaving bool) Worker {
	w.leaving = leaving
	return w
}

// ID returns the name of the worker.
func (w Worker) ID() order.WorkerID { return w.id }

// URL returns the base URL of the worker's API.
func (w Worker) URL() string { return w.url }

// Domain returns the failure domain of the worker.
func (w Worker) Domain() order.DomainName { return w.domain }

// Group returns the worker group: the rack within the failure domain.
func (w Worker) Group() order.GroupID { return order.NewGroupID(w.domain, w.rack) }

// Size returns the total CPU cores, memory and accelerators of the worker.
func (w Worker) Size() order.Resources { return w.size }

// Slots returns how many tasks the worker can run at once.
func (w Worker) Slots() int { return w.slots }

// Connections returns how many connections the worker accepts.
func (w Worker) Connections() int { return w.connections }

// Fenced reports whether the worker rejects starts of an older epoch.
func (w Worker) Fenced() bool { return w.fenced }

// Leaving reports whether the worker must get no new tasks: the platform lists
// it in a state other than "live".
func (w Worker) Leaving() bool { return w.leaving }

// NewMember returns the record of a process; admin is the address of its
// metrics and health endpoint.
func NewMember(id order.MemberID, role order.Role, domain order.DomainName, admin string) Member {
	return Member{id: id, role: role, domain: domain, admin: admin}
}

// ID returns the ID of the process, which includes its peer address.
func (m Member) ID() order.MemberID { return m.id }

// Role returns whether the process is a gate or a placer.
func (m Member) Role() order.Role { return m.role }

// Domain returns the failure domain the process runs in.
func (m Member) Domain() order.DomainName { return m.domain }

// AdminAddress returns the address of the metrics and health endpoint.
func (m Member) AdminAddress() string { return m.admin }
