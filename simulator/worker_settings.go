package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"chervilhollow/order"
	"chervilhollow/roster"
)

type (
	// WorkerSpec describes one worker. A fenced worker refuses calls with a
	// lower epoch than the highest one that has listed its tasks.
	WorkerSpec struct {
		ID           order.WorkerID   `json:"id"`
		Domain       order.DomainName `json:"domain"`
		Rack         string           `json:"rack"`
		Slots        int              `json:"slots"`
		Connections  int              `json:"connections"`
		MilliCores   order.MilliCores `json:"milli_cores"`
		MemoryMB     int64            `json:"memory_mb"`
		Accelerators int              `json:"accelerators"`
		Fenced       bool             `json:"fenced"`
	}

	// WorkerPattern generates workers of the same size: PerRack workers in each
	// of Racks racks in each of the failure domains.
	WorkerPattern struct {
		Domains []order.DomainName `json:"domains"`
		Racks   int                `json:"racks"`
		PerRack int                `json:"per_rack"`
		Size    WorkerSpec         `json:"size"`
	}

	// WorkerSettings is the settings file of standin-worker. A zero UsageLagMS
	// means two seconds; a nil Pattern generates no workers.
	WorkerSettings struct {
		Listen     string         `json:"listen"`
		UsageLagMS int64          `json:"usage_lag_ms"`
		Workers    []WorkerSpec   `json:"workers"`
		Pattern    *WorkerPattern `json:"pattern"`
	}
)

const (
	defaultUsageLag   = 2 * time.Second
	milliCoresPerCore = 1000
)

// LoadWorkerSettings reads and checks a settings file, which is JSON with
// comments. Unknown fields are errors.
func LoadWorkerSettings(path string) (WorkerSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return WorkerSettings{}, err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return WorkerSettings{}, fmt.Errorf("%s: %w", path, err)
	}
	var settings WorkerSettings
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return WorkerSettings{}, fmt.Errorf("%s: %w", path, err)
	}
	return settings, settings.Check()
}

// Specs returns the listed workers followed by those of the pattern.
func (s WorkerSettings) Specs() []WorkerSpec {
	all := append([]WorkerSpec{}, s.Workers...)
	if s.Pattern == nil {
		return all
	}
	for _, domain := range s.Pattern.Domains {
		for rack := range s.Pattern.Racks {
			for i := range s.Pattern.PerRack {
				spec := s.Pattern.Size
				spec.Domain = domain
				spec.Rack = fmt.Sprintf("r%d", rack+1)
				spec.ID = order.WorkerID(fmt.Sprintf("%s-%s-%d", domain, spec.Rack, i+1))
				all = append(all, spec)
			}
		}
	}
	return all
}

// SettingsFromHostFile returns settings with the workers of a host list file.
// The URLs in the file must end in /w/<id> for the stand-in to serve them.
func SettingsFromHostFile(file HostFile) WorkerSettings {
	var settings WorkerSettings
	for _, w := range file.document.Workers {
		settings.Workers = append(settings.Workers, WorkerSpec{
			ID:           order.WorkerID(w.ID),
			Domain:       order.DomainName(w.Domain),
			Rack:         w.Rack,
			Slots:        w.Slots,
			Connections:  w.Connections,
			MilliCores:   order.MilliCores(w.Cores * milliCoresPerCore),
			MemoryMB:     w.Memory >> 20,
			Accelerators: w.Accelerators,
			Fenced:       w.Fenced,
		})
	}
	return settings
}

// HostListWorkers returns the workers as a host list would, with URLs below the
// base URL of the stand-in.
func (s WorkerSettings) HostListWorkers(base string) []roster.Worker {
	var workers []roster.Worker
	for _, spec := range s.Specs() {
		size := order.Resources{}.
			WithCores(spec.MilliCores).
			WithMemory(order.Bytes(spec.MemoryMB << 20)).
			WithAccelerators(spec.Accelerators)
		workers = append(workers, roster.NewWorker(spec.ID, base+"/w/"+string(spec.ID), spec.Domain, spec.Rack).
			WithSize(size, spec.Slots, spec.Connections).
			WithFenced(spec.Fenced))
	}
	return workers
}

func (s WorkerSettings) usageLag() time.Duration {
	if s.UsageLagMS == 0 {
		return defaultUsageLag
	}
	return time.Duration(s.UsageLagMS) * time.Millisecond
}

// Check returns an error for the first invalid or duplicate worker.
func (s WorkerSettings) Check() error {
	seen := make(map[order.WorkerID]bool)
	for _, spec := range s.Specs() {
		switch {
		case spec.ID == "" || spec.Domain == "" || spec.Rack == "":
			return fmt.Errorf("worker %q: id, domain and rack are required", spec.ID)
		case spec.Slots <= 0 || spec.Connections <= 0:
			return fmt.Errorf("worker %q: slots and connections must be positive", spec.ID)
		case seen[spec.ID]:
			return fmt.Errorf("worker %q is listed twice", spec.ID)
		}
		seen[spec.ID] = true
	}
	return nil
}
