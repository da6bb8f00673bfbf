package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, begin: time.Now()}, err
}

func (r *Record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// System is a small deployment: the platform, its workers and the hosts under
// test.
type System struct {
	net     *Network
	store   *Store
	fleet   *Fleet
	record  *Record
	hosts   []*Host
	dir     string
	program string
	version int
}

// Host is a process of the system.
type Host struct {
	name, zone, ip string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
}

// Names and figures of the only tenant and of the queues.
const (
	maxAttempts  = 3
	queueHost    = "shop.example"
	apiKey       = "key-1"
	callDeadline = 3 * time.Second
	readyTimeout = 15 * time.Second

	frontPort, readyPort, peerPort, peerListenPort = "8183", "8184", "7420", "7430"
)

// newSystem starts the platform with the workers of each zone and the hosts of
// each zone, and waits until the hosts are ready.
func newSystem(record *Record, zones []string, workersPerZone, hostsPerZone int) (*System, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	n := newNetwork()
	s := &System{net: n, store: newStore(n), record: record, dir: dir, program: "target/host"}
	s.fleet = newFleet(n, s.store, record)
	storeAddress, err := n.serve("127.0.0.1:0", "store", s.store)
	if err != nil {
		return s, err
	}
	s.configure("r-1", "r-2")
	for i := range workersPerZone * len(zones) {
		// Consecutive workers stand in different zones.
		if err := s.fleet.add(fmt.Sprintf("w%02d", i), zones[i%len(zones)], fmt.Sprintf("r1-%d", i)); err != nil {
			return s, err
		}
	}
	subnet := fmt.Sprintf("127.%d.%d.", 20+rand.N(200), rand.N(250))
	for i := range hostsPerZone * len(zones) {
		h := &Host{name: fmt.Sprintf("front-%d", i), zone: zones[i/hostsPerZone], ip: subnet + fmt.Sprint(10+i)}
		s.hosts = append(s.hosts, h)
		if err := s.startHost(h, storeAddress); err != nil {
			return s, err
		}
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(); err != nil {
			return s, err
		}
	}
	record.add("all hosts are ready")
	time.Sleep(time.Second)
	return s, nil
}

// startHost fills in the template of the deploy file and starts the process.
// Its peers reach it through a forwarder.
func (s *System) startHost(h *Host, store string) error {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		`"peer_address": "{{ip}}:{{internalPorts.0}}",`,
		fmt.Sprintf(`"peer_address": "%s:%s", "peer_listen_address": "%s:%s",`, h.ip, peerPort, h.ip, peerListenPort),
		"{{ip}}", h.ip, "{{listen.front}}", h.ip+":"+frontPort, "{{listen.ready}}", h.ip+":"+readyPort,
		"{{platform.address}}", store, "{{advice}}", "", "{{zone}}", h.zone,
		"{{limits.cores}}", "1", "{{limits.cpuShare}}", "0.4", "{{limits.memoryMb}}", "284",
		`{{#platform.writesPerS}}"store_writes": {{.}},{{/platform.writesPerS}}`, `"store_writes": 400,`,
		"{{bounds.maxHoldMs}}", "10000", "{{bounds.status_s}}", "120",
	).Replace(string(template))
	path := filepath.Join(s.dir, h.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, h.name+".log"))
	if err != nil {
		return err
	}
	if err := s.net.forward(h.ip+":"+peerPort, h.ip+":"+peerListenPort, h.zone); err != nil {
		return err
	}
	h.log, h.settings = log, path
	return s.run(h)
}

// run starts the process of a host.
func (s *System) run(h *Host) error {
	h.cmd = exec.Command(s.program, "-settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	started.Store(h, h.cmd.Process)
	s.net.addProcess(h.cmd.Process.Pid, h.zone)
	s.record.add("host %s in %s starts as process %d", h.name, h.zone, h.cmd.Process.Pid)
	return nil
}

// terminate stops a host with SIGTERM and starts it again when it has ended.
func (s *System) terminate(h *Host) error {
	s.record.add("host %s gets SIGTERM", h.name)
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	_ = h.cmd.Wait()
	return s.run(h)
}

func (h *Host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + h.ip + ":" + readyPort + "/v1/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.name, readyTimeout)
}

// started holds the process of each host, for endProcesses.
var started sync.Map

// endProcesses ends all started processes if the test bed itself is stopped.
func endProcesses() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	started.Range(func(_, p any) bool {
		_ = p.(*os.Process).Kill()
		return true
	})
	os.Exit(2)
}

// close ends the processes. Their logs stay if KEEP is set.
func (s *System) close() {
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
		return
	}
	fmt.Println("logs in", s.dir)
}

// owner returns the host that the ownership record names.
func (s *System) owner() *Host {
	for _, h := range s.hosts {
		if bytes.Contains(s.store.get("cell/owner"), []byte(h.ip+":")) {
			return h
		}
	}
	return nil
}

// configure writes the next version of the configuration. Each route is given as
// its name, or as its name and the first part of its path with a colon between.
// The first route has the most urgent priority.
func (s *System) configure(routes ...string) {
	s.version += 3
	list := []object{}
	for i, r := range routes {
		name, part, renamed := strings.Cut(r, ":")
		if !renamed {
			part = name
		}
		list = append(list, object{
			"name": name, "host": queueHost, "pathPrefix": "/" + part + "/", "service": serviceName, "targetDurationMs": 250,
			"priority": i, "maxAttempts": maxAttempts, "stretch": 2.2, "timeoutMs": 3000,
		})
	}
	s.record.add("operator writes version %d with routes %v", s.version, routes)
	s.store.set("op/config", object{
		"version": s.version, "routes": list, "services": []object{{"name": serviceName}},
		"limits":  object{"maxBodyBytes": 262144},
		"tenants": []object{{"name": "t-1", "apiKeys": []string{apiKey}, "weight": 1000, "cap": object{"cpu": 0, "memMb": 0, "gpu": 0}}},
	})
}

// newJob registers a job with a random ID.
func (s *System) newJob(steps ...Step) *Job {
	j := &Job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.jobs[j.id] = j
	return j
}

// call sends a request to a host and returns the status, or 0 without an
// answer.
func (s *System) call(h *Host, method, path string, body any) (int, string) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequest(method, "http://"+h.ip+":"+frontPort+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host = queueHost
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Chervilhollow-Request-Deadline", fmt.Sprint(callDeadline.Milliseconds()))
	client := http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		s.record.add("%s %s at %s: no answer", method, path, h.name)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	s.record.add("%s %s at %s: %d %s", method, path, h.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// submit hands a job in, again at the next host after no answer, 502 or 504,
// and reports whether it was accepted.
func (s *System) submit(j *Job, route string) bool {
	steps := []object{}
	for _, st := range j.steps {
		d := object{"count": st.count, "cpu": st.cpu, "memMb": st.mem, "estRuntimeMs": st.work.Milliseconds()}
		if len(st.after) > 0 {
			d["after"] = st.after
		}
		if st.label != "" {
			d["constraints"] = st.label
		}
		if st.lasting {
			d["longRunning"] = true
		}
		if st.gang {
			d["gang"] = true
		}
		if st.perWorker > 0 {
			d["antiAffinity"] = st.perWorker
		}
		steps = append(steps, d)
	}
	for try := range 4 {
		status, _ := s.call(s.hosts[try%len(s.hosts)], http.MethodPost, "/"+route+"/"+j.id, object{"spec": "s", "steps": steps})
		switch status {
		case http.StatusOK:
			s.fleet.mu.Lock()
			j.accepted = time.Now()
			s.fleet.mu.Unlock()
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue
		}
		return false
	}
	return false
}

// cancel cancels a job and reports whether that was acknowledged.
func (s *System) cancel(j *Job, route string) bool {
	for try := range 4 {
		if status, _ := s.call(s.hosts[try%len(s.hosts)], http.MethodDelete, "/"+route+"/"+j.id, nil); status/100 == 2 {
			s.fleet.mu.Lock()
			j.cancelled = time.Now()
			s.fleet.mu.Unlock()
			return true
		}
	}
	return false
}
