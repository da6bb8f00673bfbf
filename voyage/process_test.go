package voyage

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

type process struct {
	name string
	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
}

var build struct {
	once sync.Once
	dir  string
	err  error
}

var hostNumber atomic.Int32

// binaries builds the programs once for all scripts.
func binaries(t *testing.T) string {
	t.Helper()
	build.once.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "voyage")
		if build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", build.dir+"/", "../cmd/...").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if build.err != nil {
		t.Fatal(build.err)
	}
	return build.dir
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.done = done
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.name)
	}
	return p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// end sends the signal and waits for the process.
func (p *process) end(s syscall.Signal, limit time.Duration) error {
	if err := p.signal(s); err != nil {
		return err
	}
	p.mu.Lock()
	done := p.done
	p.cmd = nil
	p.mu.Unlock()
	select {
	case err := <-done:
		if s == syscall.SIGKILL {
			return nil
		}
		return err
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %s", p.name, limit)
	}
}

// nextHost returns a loopback address that no other script and no other test
// run at the same time uses, so that fixed ports on it are free. Ports on
// 127.0.0.1 that were free a moment ago may be taken by outgoing connections.
func nextHost() string {
	number := hostNumber.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, number)
}

func waitForURL(url string, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	var last error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			last = err
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %s", response.Status)
	}
	return fmt.Errorf("no answer from %s within %s: %w", url, limit, last)
}

func writeFile(dir, name, content string) (string, error) {
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, []byte(content), 0o644)
}
