package roster

import (
	"sort"

	"chervilhollow/order"
)

// hostList is one answer of the host list with the views that are asked for
// often. It is never changed after it was built.
type hostList struct {
	tag     string
	workers []Worker
	byID    map[order.WorkerID]Worker
	byGroup map[order.GroupID][]Worker
	groups  []order.GroupID
	entries []EntryHost
}

func newHostList(document hostsDocument, tag string) *hostList {
	l := &hostList{
		tag:     tag,
		byID:    make(map[order.WorkerID]Worker, len(document.Workers)),
		byGroup: make(map[order.GroupID][]Worker),
	}
	for _, d := range document.Workers {
		l.byID[order.WorkerID(d.ID)] = d.worker()
	}
	for _, w := range l.byID {
		l.workers = append(l.workers, w)
	}
	sort.Slice(l.workers, func(i, j int) bool { return l.workers[i].id < l.workers[j].id })
	for _, w := range l.workers {
		l.byGroup[w.Group()] = append(l.byGroup[w.Group()], w)
	}
	for group := range l.byGroup {
		l.groups = append(l.groups, group)
	}
	sort.Slice(l.groups, func(i, j int) bool { return l.groups[i] < l.groups[j] })
	for _, d := range document.EntryHosts {
		l.entries = append(l.entries, NewEntryHost(d.Address, order.DomainName(d.Domain)))
	}
	return l
}
