package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entryHost is one entry host: its process and the proxies around it.
type entryHost struct {
	name     string
	domain   string
	settings string
	log      string
	admin    string
	program  string

	callers *proxy
	peers   *proxy
	toStore *proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan error
	stopped time.Time
}

// stopLimit is how long a process may take to end after SIGTERM, by the
// platform's page.
const stopLimit = 6 * time.Second

// buildHost builds the program of an entry host.
func buildHost(dir string) (string, error) {
	path := filepath.Join(dir, "host")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/host").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
}

func (h *entryHost) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.program, "-settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.done, h.stopped = cmd, done, time.Time{}
	return nil
}

func (h *entryHost) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil
	}
	if s == syscall.SIGTERM {
		h.stopped = time.Now()
	}
	return h.cmd.Process.Signal(s)
}

// wait waits for the end of the process after a signal.
func (h *entryHost) wait(limit time.Duration) error {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case err := <-done:
		h.mu.Lock()
		h.cmd = nil
		h.mu.Unlock()
		return err
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %s", h.name, limit)
	}
}

// kill ends the process at once.
func (h *entryHost) kill() error {
	if err := h.signal(syscall.SIGKILL); err != nil {
		return err
	}
	// A killed process always ends with an error.
	_ = h.wait(5 * time.Second)
	return nil
}

func (h *entryHost) close() {
	// The process may be stopped by SIGSTOP or have ended.
	_ = h.signal(syscall.SIGCONT)
	h.mu.Lock()
	running := h.cmd != nil
	h.mu.Unlock()
	if running {
		_ = h.kill()
	}
	for _, p := range []*proxy{h.callers, h.peers, h.toStore} {
		if p != nil {
			p.close()
		}
	}
}
