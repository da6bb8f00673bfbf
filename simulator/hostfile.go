package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

type (
	// HostFile is a parsed and checked host list file, with the workers of
	// its pattern generated. Create one with ParseHostFile.
	HostFile struct {
		document hostFileDocument
	}

	hostFileDocument struct {
		Workers    []hostWorker `json:"workers"`
		Generate   *hostPattern `json:"generate,omitempty"`
		EntryHosts []entryHost  `json:"entry_hosts"`
	}

	hostWorker struct {
		ID           string  `json:"id"`
		URL          string  `json:"url"`
		Domain       string  `json:"domain"`
		Rack         string  `json:"rack"`
		Cores        float64 `json:"cores"`
		Memory       int64   `json:"memory"`
		Accelerators int     `json:"accelerators"`
		Slots        int     `json:"slots"`
		Connections  int     `json:"connections"`
		Fenced       bool    `json:"fenced"`
		State        string  `json:"state"`
	}

	entryHost struct {
		Address string `json:"address"`
		Domain  string `json:"domain"`
	}

	// hostPattern describes Count workers of the same size. In ID and URL,
	// "{n}" is replaced by the zero-based number of the worker and "{port}"
	// by FirstPort plus that number.
	hostPattern struct {
		Count          int      `json:"count"`
		Domains        []string `json:"domains"`
		WorkersPerRack int      `json:"workers_per_rack"`
		ID             string   `json:"id"`
		URL            string   `json:"url"`
		FirstPort      int      `json:"first_port"`
		Cores          float64  `json:"cores"`
		Memory         int64    `json:"memory"`
		Accelerators   int      `json:"accelerators"`
		Slots          int      `json:"slots"`
		Connections    int      `json:"connections"`
		Fenced         bool     `json:"fenced"`
	}
)

// States of a host, as named in the host list file and the HTTP API. The list
// omits hosts that are gone.
const (
	hostLive    = "live"
	hostLeaving = "leaving"
	hostGone    = "gone"
)

// ParseHostFile parses a host list file, which is JSON with comments, and
// generates the workers of its pattern. Unknown fields, missing fields and
// duplicate IDs are errors.
func ParseHostFile(data []byte) (HostFile, error) {
	var file HostFile
	plain, err := hujson.Standardize(data)
	if err != nil {
		return file, fmt.Errorf("read host list: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file.document); err != nil {
		return file, fmt.Errorf("read host list: %w", err)
	}
	if err := file.generate(); err != nil {
		return file, fmt.Errorf("read host list: %w", err)
	}
	if err := file.check(); err != nil {
		return file, fmt.Errorf("read host list: %w", err)
	}
	return file, nil
}

func (f *HostFile) generate() error {
	p := f.document.Generate
	if p == nil {
		return nil
	}
	if p.Count < 0 || len(p.Domains) == 0 || p.WorkersPerRack < 1 {
		return fmt.Errorf("generate: need count, domains and workers_per_rack")
	}
	for n := range p.Count {
		f.document.Workers = append(f.document.Workers, p.worker(n))
	}
	f.document.Generate = nil
	return nil
}

func (f *HostFile) check() error {
	seen := make(map[string]bool)
	for i := range f.document.Workers {
		w := &f.document.Workers[i]
		if w.State == "" {
			w.State = hostLive
		}
		switch {
		case w.ID == "" || w.URL == "" || w.Domain == "" || w.Rack == "":
			return fmt.Errorf("worker %d: need id, url, domain and rack", i+1)
		case seen[w.ID]:
			return fmt.Errorf("worker %s is listed twice", w.ID)
		case w.State != hostLive && w.State != hostLeaving:
			return fmt.Errorf("worker %s: state %q, want live or leaving", w.ID, w.State)
		}
		seen[w.ID] = true
	}
	for i, e := range f.document.EntryHosts {
		switch {
		case e.Address == "" || e.Domain == "":
			return fmt.Errorf("entry host %d: need address and domain", i+1)
		case seen[e.Address]:
			return fmt.Errorf("entry host %s is listed twice", e.Address)
		}
		seen[e.Address] = true
	}
	return nil
}

// worker returns worker n. Racks are filled one after another, and successive
// racks are assigned to the failure domains round-robin.
func (p *hostPattern) worker(n int) hostWorker {
	rack := n / p.WorkersPerRack
	replace := strings.NewReplacer("{n}", strconv.Itoa(n), "{port}", strconv.Itoa(p.FirstPort+n))
	return hostWorker{
		ID:           replace.Replace(p.ID),
		URL:          replace.Replace(p.URL),
		Domain:       p.Domains[rack%len(p.Domains)],
		Rack:         fmt.Sprintf("r%d", rack/len(p.Domains)+1),
		Cores:        p.Cores,
		Memory:       p.Memory,
		Accelerators: p.Accelerators,
		Slots:        p.Slots,
		Connections:  p.Connections,
		Fenced:       p.Fenced,
	}
}
