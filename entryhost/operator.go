package entryhost

import (
	"context"

	"chervilhollow/order"
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
	if c.IsSnapshot() {
		h.replaceOperatorDocs(c.Entries(), c.Version())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operatorDocs.Apply(c.Events(), c.Version())
	h.decodeOperatorDocs()
}

// replaceOperatorDocs replaces all operators' documents by a list of the store
// and decodes them. A list that the watch has overtaken is dropped, as it may
// contain a key or a route that has been removed since.
func (h *Host) replaceOperatorDocs(entries []storage.Entry, version storage.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.operatorDocs.Replace(entries, version) {
		h.registry.Count("pier.operator_list_older")
		h.log.Info().Uint64("version", uint64(version)).Msg("pier: list of operators' documents dropped, a newer version is known")
		return
	}
	h.decodeOperatorDocs()
}

// decodeOperatorDocs decodes the operators' documents and passes the result to
// the cell, if this host runs it. A configuration that cannot be decoded leaves
// the previous one in force. The lock must be held.
func (h *Host) decodeOperatorDocs() {
	config, withdrawn, err := h.deps.decoder.DecodeOperator(h.operatorDocs.Entries())
	if err != nil {
		h.registry.Count("pier.operator_unreadable")
		h.log.Error().Err(err).Msg("pier: operator's document not decoded")
	}
	if config != nil {
		h.config = config
	}
	h.withdrawn = withdrawn
	h.passConfig()
}

// passConfig passes the configuration to the cell, if this host runs it. The
// heartbeat tries again if the inbox is full. The lock must be held.
func (h *Host) passConfig() {
	h.configHeld = false
	if h.runner == nil {
		return
	}
	if err := h.runner.Enqueue(scheduler.NewConfigMsg(h.config, h.withdrawn)); err != nil {
		h.configHeld = true
		h.log.Warn().Err(err).Msg("pier: configuration not passed to the cell yet")
	}
}

// passLink passes the state of a link to the cell, if this host runs it. The
// heartbeat tries again if the inbox is full. The lock must be held.
func (h *Host) passLink(peer order.MemberID) {
	delete(h.linksHeld, peer)
	if h.runner == nil {
		return
	}
	if err := h.runner.Enqueue(scheduler.NewHostLinkMsg(peer, h.links[peer])); err != nil {
		h.linksHeld[peer] = true
		h.log.Warn().Err(err).Str("peer", string(peer)).Msg("pier: link not passed to the cell yet")
	}
}

// passHeld passes to the cell what found its inbox full.
func (h *Host) passHeld() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configHeld {
		h.passConfig()
	}
	for peer := range h.linksHeld {
		h.passLink(peer)
	}
}
