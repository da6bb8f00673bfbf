package roster

import (
	"encoding/json"
	"sort"

	"chervilhollow/order"
)

// hostListSnapshot is one version of the host list, indexed for the lookups of
// HostListClient. It is immutable.
type hostListSnapshot struct {
	etag       string
	workers    []Worker
	byID       map[order.WorkerID]Worker
	byGroup    map[order.GroupID][]Worker
	groups     []order.GroupID
	entryHosts []EntryHost

	// unreadable is the number of rows that were left out.
	unreadable int
}

func newHostListSnapshot(document hostListDocument, etag string) *hostListSnapshot {
	l := &hostListSnapshot{
		etag:    etag,
		byID:    make(map[order.WorkerID]Worker, len(document.Workers)),
		byGroup: make(map[order.GroupID][]Worker),
	}
	for _, row := range document.Workers {
		w, err := decodeWorker(row)
		if err != nil {
			l.unreadable++
			continue
		}
		l.byID[w.id] = w
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
	for _, row := range document.EntryHosts {
		var d entryHostDocument
		if err := json.Unmarshal(row, &d); err != nil || d.Address == "" {
			l.unreadable++
			continue
		}
		l.entryHosts = append(l.entryHosts, NewEntryHost(d.Address, order.DomainName(d.Domain)))
	}
	return l
}
