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

// entryHost is the process of one entry host, with the proxies for its
// connections from callers, to its peers and to the store. cmd and done belong
// to the current run of the process; stopRequested is the time of its SIGTERM,
// zero if there was none.
type entryHost struct {
	name         string
	domain       string
	settingsPath string
	logPath      string
	adminAddress string
	program      string

	callerProxy *proxy
	peerProxy   *proxy
	storeProxy  *proxy

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan error
	stopRequested time.Time
}

// stopTimeout is how long a process may take to end after SIGTERM, as the
// platform documents.
const stopTimeout = 6 * time.Second

// buildHost builds the program of an entry host into dir and returns its path.
func buildHost(dir string) (string, error) {
	path := filepath.Join(dir, "host")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/host").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
}

func (h *entryHost) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.program, "-settings", h.settingsPath, "-worker-heartbeat", "1500ms")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.done, h.stopRequested = cmd, done, time.Time{}
	return nil
}

func (h *entryHost) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil
	}
	if s == syscall.SIGTERM {
		h.stopRequested = time.Now()
	}
	return h.cmd.Process.Signal(s)
}

// awaitExit waits until the process has ended after a signal. It returns the
// error of the process, or another one after the limit.
func (h *entryHost) awaitExit(limit time.Duration) error {
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

// kill ends the process by SIGKILL and waits until it has ended.
func (h *entryHost) kill() error {
	if err := h.signal(syscall.SIGKILL); err != nil {
		return err
	}
	// A killed process always ends with an error.
	_ = h.awaitExit(5 * time.Second)
	return nil
}

func (h *entryHost) close() {
	// The process may be paused by SIGSTOP, or have ended.
	_ = h.signal(syscall.SIGCONT)
	h.mu.Lock()
	running := h.cmd != nil
	h.mu.Unlock()
	if running {
		_ = h.kill()
	}
	for _, p := range []*proxy{h.callerProxy, h.peerProxy, h.storeProxy} {
		if p != nil {
			p.close()
		}
	}
}
