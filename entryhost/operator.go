package entryhost

import (
	"context"

	"chervilhollow/scheduler"
	"chervilhollow/storage"
)

// watchOperatorDocs keeps the configuration and the withdrawn domains up to
// date with the operators' documents in the store, until the context ends.
func (h *Host) watchOperatorDocs(ctx context.Context) error {
	f := storage.NewFollower(h.deps.store, h.clock, h.deps.decoder.OperatorPrefix(), 0, h.log, h.applyOperatorChange)
	return f.Run(ctx)
}

// applyOperatorChange applies a change of the operators' documents.
func (h *Host) applyOperatorChange(c storage.Change) {
	if c.Err() != nil {
		h.log.Debug().Err(c.Err()).Msg("pier: operators' documents not read")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.IsSnapshot() {
		clear(h.operatorDocs)
	}
	for _, e := range c.Entries() {
		h.operatorDocs[e.Key()] = e
	}
	for _, e := range c.Events() {
		if e.Deleted() {
			delete(h.operatorDocs, e.Entry().Key())
			continue
		}
		h.operatorDocs[e.Entry().Key()] = e.Entry()
	}
	h.decodeOperatorDocs()
}

// decodeOperatorDocs decodes the operators' documents and passes the result to
// the cell, if this host runs it. A configuration that cannot be decoded leaves
// the previous one in force. The lock must be held.
func (h *Host) decodeOperatorDocs() {
	entries := make([]storage.Entry, 0, len(h.operatorDocs))
	for _, e := range h.operatorDocs {
		entries = append(entries, e)
	}
	config, withdrawn, err := h.deps.decoder.DecodeOperator(entries)
	if err != nil {
		h.registry.Count("pier.operator_unreadable")
		h.log.Error().Err(err).Msg("pier: operator's document not decoded")
	}
	if config != nil {
		h.config = config
	}
	h.withdrawn = withdrawn
	if h.runner != nil {
		if err := h.runner.Enqueue(scheduler.NewConfigMsg(h.config, h.withdrawn)); err != nil {
			h.log.Error().Err(err).Msg("pier: configuration not passed to the cell")
		}
	}
}
