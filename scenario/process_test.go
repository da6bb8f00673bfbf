package scenario

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

// process is a program of the deployment, which can be stopped and started
// again. Its output is appended to the file logPath. Fields cmd and done belong
// to the current run; cmd is nil while the program does not run.
type process struct {
	name    string
	path    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
}

var binariesBuild struct {
	once sync.Once
	dir  string
	err  error
}

var lastHostNumber atomic.Int32

// buildBinaries builds all commands once for all scripts and returns their
// directory.
func buildBinaries(t *testing.T) string {
	t.Helper()
	binariesBuild.once.Do(func() {
		binariesBuild.dir, binariesBuild.err = os.MkdirTemp("", "scenario")
		if binariesBuild.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", binariesBuild.dir+"/", "../cmd/...").CombinedOutput()
		if err != nil {
			binariesBuild.err = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if binariesBuild.err != nil {
		t.Fatal(binariesBuild.err)
	}
	return binariesBuild.dir
}

func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
		return fmt.Errorf("%s is not running", p.name)
	}
	return p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// signalAndWait sends the signal and waits until the process has ended. It
// returns an error if that takes longer than limit or, except after SIGKILL, if
// the exit status is not zero.
func (p *process) signalAndWait(s syscall.Signal, limit time.Duration) error {
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

// nextLoopbackAddress returns a loopback address that is used by no other
// script and no concurrent test run, so that fixed ports on it are free. On
// 127.0.0.1 an outgoing connection may take a port that was free a moment ago.
func nextLoopbackAddress() string {
	number := lastHostNumber.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, number)
}

func waitForURL(url string, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	var lastErr error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			lastErr = err
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		lastErr = fmt.Errorf("status %s", response.Status)
	}
	return fmt.Errorf("no answer from %s within %s: %w", url, limit, lastErr)
}

func writeFile(dir, name, content string) (string, error) {
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, []byte(content), 0o644)
}
