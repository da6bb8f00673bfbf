package voyage

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/sample"
)

const settingsFormat = `{
	"peer_address": %q,
	"admin_address": %q,
	%s
	"failure_domain": %q,
	"store_url": %q,
	"host_list_url": %q,
	"peer_secret": "scripted-run-peer-secret",
	"log_level": "info",
}`

const hostsFormat = `{
	"generate": {
		"count": %d, "domains": ["east", "west", "south"], "workers_per_rack": %d,
		"id": "w{n}", "url": %q, "first_port": 1,
		"cores": 64, "memory": 274877906944, "accelerators": 0,
		"slots": 8, "connections": 64, "fenced": true,
	},
	"entry_hosts": [{"address": %q, "domain": "east"}],
}`

const sheetText = `type,name,value,state
domain,east,,in
domain,west,,in
domain,south,,in
team,toys,,
share,toys,3,
limit,toys,200,
key,toys,secret:toys-scripted-secret,
team,clinics,,
share,clinics,1,
limit,clinics,24,
key,clinics,secret:clinics-scripted-secret,
key,clinics,secret:clinics-withdrawn-secret,withdrawn
`

// cluster is one deployment with its stand-ins.
type cluster struct {
	t          *testing.T
	dir        string
	bin        string
	processes  map[string]*process
	store      string
	hosts      string
	workers    string
	gates      []string
	gateAdmins []string
	admins     map[string]string
	flows      map[string]*flow

	balancer *balancer
	noted    map[order.WorkerID]int
}

// newCluster starts stand-ins and entry hosts, imports the sheet and waits
// until all processes are ready.
func newCluster(t *testing.T, dir string, entryHosts, workers, perRack int) (*cluster, error) {
	c := &cluster{
		t: t, dir: dir, bin: binaries(t),
		processes: make(map[string]*process),
		admins:    make(map[string]string),
		flows:     make(map[string]*flow),
	}
	host := nextHost()
	ports := make([]string, 0, 3+5*entryHosts)
	for i := range cap(ports) {
		ports = append(ports, fmt.Sprintf("%s:%d", host, 7000+i))
	}
	c.store, c.hosts, c.workers = "http://"+ports[0], "http://"+ports[1], "http://"+ports[2]
	file, err := writeFile(dir, "hosts.json", fmt.Sprintf(hostsFormat, workers, perRack, c.workers+"/w/w{n}", host))
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		c.launch("store", "standin-store", "-listen", ports[0]),
		c.launch("hosts", "standin-hosts", "-listen", ports[1], "-file", file, "-lag", "1s"),
		c.launch("workers", "standin-worker", "-listen", ports[2], "-hosts", file),
		waitForURL(c.store+"/calls", 5*time.Second),
		waitForURL(c.hosts+"/v1/hosts", 5*time.Second),
		waitForURL(c.workers+"/audit", 5*time.Second),
	)
	if err != nil {
		return nil, err
	}
	domains := []string{"east", "west", "south"}
	for i := range entryHosts {
		p := ports[3+5*i:]
		if err := c.addHost(i+1, domains[i%len(domains)], p); err != nil {
			return nil, err
		}
	}
	c.balancer = newBalancer(c)
	return c, c.begin()
}

func (c *cluster) begin() error {
	sheet, err := writeFile(c.dir, "sheet.csv", sheetText)
	if err != nil {
		return err
	}
	if out, err := c.ctl("import", sheet); err != nil {
		return fmt.Errorf("import: %w: %s", err, out)
	}
	for name := range c.admins {
		if err := c.ready(name); err != nil {
			return err
		}
	}
	return nil
}

// probe waits until requests through all gates are served, so that a script
// does not measure the start of the processes.
func (c *cluster) probe() error {
	f := newFlow(c, "probe", "toys", "preview", 1, 20*time.Second, "idempotent", "insist")
	f.run(3*order.RequestPartitions, 200)
	f.group.Wait()
	if f.codes()[0] != 3*order.RequestPartitions {
		return fmt.Errorf("the deployment does not serve: %s %v", f.summary(), f.faults)
	}
	return nil
}

func (c *cluster) addHost(number int, domain string, ports []string) error {
	gate, placer := fmt.Sprintf("gate%d", number), fmt.Sprintf("placer%d", number)
	c.admins[gate], c.admins[placer] = ports[1], ports[4]
	c.gates = append(c.gates, "http://"+ports[2])
	c.gateAdmins = append(c.gateAdmins, ports[1])
	callers := fmt.Sprintf("%q: %q,", "caller_address", ports[2])
	gateFile, err := writeFile(c.dir, gate+".json",
		fmt.Sprintf(settingsFormat, ports[0], ports[1], callers, domain, c.store, c.hosts))
	if err != nil {
		return err
	}
	placerFile, err := writeFile(c.dir, placer+".json",
		fmt.Sprintf(settingsFormat, ports[3], ports[4], "", domain, c.store, c.hosts))
	if err != nil {
		return err
	}
	return errors.Join(
		c.launch(placer, "placer", "-settings", placerFile),
		c.launch(gate, "gate", "-settings", gateFile))
}

func (c *cluster) launch(name, program string, args ...string) error {
	p := &process{
		name: name,
		path: filepath.Join(c.bin, program),
		args: args,
		log:  filepath.Join(c.dir, name+".log"),
	}
	c.processes[name] = p
	return p.start()
}

func (c *cluster) ready(name string) error {
	return waitForURL("http://"+c.admins[name]+"/ready", 20*time.Second)
}

func (c *cluster) ctl(args ...string) (string, error) {
	full := append([]string{"-store", c.store, "-hosts", c.hosts}, args...)
	out, err := exec.Command(filepath.Join(c.bin, "ctl"), full...).CombinedOutput()
	return string(out), err
}

// post sends a JSON document to a stand-in.
func (c *cluster) post(url, body string) error {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		return fmt.Errorf("%s: %s: %s", url, response.Status, text.String())
	}
	return nil
}

func (c *cluster) audit() (sample.WorkerAudit, error) {
	var audit sample.WorkerAudit
	response, err := http.Get(c.workers + "/audit?all=1")
	if err != nil {
		return audit, err
	}
	defer response.Body.Close()
	return audit, json.NewDecoder(response.Body).Decode(&audit)
}

// brokenInvariants returns the counters of broken invariants of all running
// processes.
func (c *cluster) brokenInvariants() ([]string, error) {
	var broken []string
	for name, admin := range c.admins {
		if !c.processes[name].running() {
			continue
		}
		lines, err := c.metrics(admin)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if strings.HasPrefix(line, "invariant.broken.") {
				broken = append(broken, name+": "+line)
			}
		}
	}
	return broken, nil
}

func (c *cluster) metrics(admin string) ([]string, error) {
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	return strings.Split(text.String(), "\n"), err
}

// gate returns the URL of a gate that the balancer holds ready.
func (c *cluster) gate(turn int) string {
	ready := c.balancer.ready()
	if len(ready) == 0 {
		ready = c.gates
	}
	return ready[turn%len(ready)]
}

// close ends what still runs; a test has checked graceful ends before.
func (c *cluster) close() {
	if c.balancer != nil {
		c.balancer.close()
	}
	for _, p := range c.processes {
		if p.running() {
			_ = p.signal(syscall.SIGCONT)
			_ = p.end(syscall.SIGKILL, 5*time.Second)
		}
	}
}

func taskOf(team, request string) order.TaskID {
	return order.NewTaskID(order.TeamName(team), order.RequestID(request), 0)
}
