package scenario

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
	"chervilhollow/simulator"
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

// cluster is one deployment: the processes of its entry hosts and of the
// stand-ins of the store, the host list and the workers.
type cluster struct {
	t              *testing.T
	dir            string
	binDir         string
	processes      map[string]*process
	storeURL       string
	hostsURL       string
	workersURL     string
	gateURLs       []string
	gateAdmins     []string
	adminAddresses map[string]string
	flows          map[string]*flow

	balancer       *balancer
	recordedStarts map[order.WorkerID]int
}

// newCluster starts the stand-ins and the entry hosts, imports the sheet and
// waits until all processes are ready. After an error the returned cluster, if
// any, still has to be closed.
func newCluster(t *testing.T, dir string, entryHosts, workers, perRack int) (*cluster, error) {
	c := &cluster{
		t: t, dir: dir, binDir: buildBinaries(t),
		processes:      make(map[string]*process),
		adminAddresses: make(map[string]string),
		flows:          make(map[string]*flow),
	}
	host := nextLoopbackAddress()
	ports := make([]string, 0, 3+5*entryHosts)
	for i := range cap(ports) {
		ports = append(ports, fmt.Sprintf("%s:%d", host, 7000+i))
	}
	c.storeURL, c.hostsURL, c.workersURL = "http://"+ports[0], "http://"+ports[1], "http://"+ports[2]
	file, err := writeFile(dir, "hosts.json", fmt.Sprintf(hostsFormat, workers, perRack, c.workersURL+"/w/w{n}", host))
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		c.launch("store", "standin-store", "-listen", ports[0]),
		c.launch("hosts", "standin-hosts", "-listen", ports[1], "-file", file, "-lag", "1s"),
		c.launch("workers", "standin-worker", "-listen", ports[2], "-hosts", file),
		waitForURL(c.storeURL+"/calls", 5*time.Second),
		waitForURL(c.hostsURL+"/v1/hosts", 5*time.Second),
		waitForURL(c.workersURL+"/audit", 5*time.Second),
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
	return c, c.configure()
}

// configure imports the configuration and waits until all gates and placers
// are ready.
func (c *cluster) configure() error {
	sheet, err := writeFile(c.dir, "sheet.csv", sheetText)
	if err != nil {
		return err
	}
	if out, err := c.ctl("import", sheet); err != nil {
		return fmt.Errorf("import: %w: %s", err, out)
	}
	for name := range c.adminAddresses {
		if err := c.waitReady(name); err != nil {
			return err
		}
	}
	return nil
}

// checkServing waits until requests through all gates are served, so that a
// script does not measure the start of the processes.
func (c *cluster) checkServing() error {
	f := newFlow(c, "probe", "toys", "preview", 1, 20*time.Second, "idempotent", "insist")
	f.run(3*order.RequestPartitions, 200)
	f.group.Wait()
	if f.countCodes()[0] != 3*order.RequestPartitions {
		return fmt.Errorf("the deployment does not serve requests: %s %v", f.summary(), f.problems)
	}
	return nil
}

// addHost starts the gate and the placer of an entry host. It uses five
// addresses of ports: peer, admin and caller address of the gate, then peer and
// admin address of the placer.
func (c *cluster) addHost(number int, domain string, ports []string) error {
	gate, placer := fmt.Sprintf("gate%d", number), fmt.Sprintf("placer%d", number)
	c.adminAddresses[gate], c.adminAddresses[placer] = ports[1], ports[4]
	c.gateURLs = append(c.gateURLs, "http://"+ports[2])
	c.gateAdmins = append(c.gateAdmins, ports[1])
	callers := fmt.Sprintf("%q: %q,", "caller_address", ports[2])
	gateFile, err := writeFile(c.dir, gate+".json",
		fmt.Sprintf(settingsFormat, ports[0], ports[1], callers, domain, c.storeURL, c.hostsURL))
	if err != nil {
		return err
	}
	placerFile, err := writeFile(c.dir, placer+".json",
		fmt.Sprintf(settingsFormat, ports[3], ports[4], "", domain, c.storeURL, c.hostsURL))
	if err != nil {
		return err
	}
	return errors.Join(
		c.launch(placer, "placer", "-settings", placerFile),
		c.launch(gate, "gate", "-settings", gateFile))
}

func (c *cluster) launch(name, program string, args ...string) error {
	p := &process{
		name:    name,
		path:    filepath.Join(c.binDir, program),
		args:    args,
		logPath: filepath.Join(c.dir, name+".log"),
	}
	c.processes[name] = p
	return p.start()
}

func (c *cluster) waitReady(name string) error {
	return waitForURL("http://"+c.adminAddresses[name]+"/ready", 20*time.Second)
}

func (c *cluster) ctl(args ...string) (string, error) {
	full := append([]string{"-store", c.storeURL, "-hosts", c.hostsURL}, args...)
	out, err := exec.Command(filepath.Join(c.binDir, "ctl"), full...).CombinedOutput()
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

func (c *cluster) readAudit() (simulator.WorkerAudit, error) {
	var audit simulator.WorkerAudit
	response, err := http.Get(c.workersURL + "/audit?all=1")
	if err != nil {
		return audit, err
	}
	defer response.Body.Close()
	return audit, json.NewDecoder(response.Body).Decode(&audit)
}

// brokenInvariants returns the metrics lines of broken invariants of all
// running processes.
func (c *cluster) brokenInvariants() ([]string, error) {
	var broken []string
	for name, admin := range c.adminAddresses {
		if !c.processes[name].running() {
			continue
		}
		lines, err := c.readMetrics(admin)
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

func (c *cluster) readMetrics(admin string) ([]string, error) {
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	return strings.Split(text.String(), "\n"), err
}

// gateURL returns the URL of a ready gate, or of any gate if none is ready.
// Successive turns select the gates round-robin.
func (c *cluster) gateURL(turn int) string {
	ready := c.balancer.ready()
	if len(ready) == 0 {
		ready = c.gateURLs
	}
	return ready[turn%len(ready)]
}

// close kills the processes that still run. Scripts check graceful stops
// themselves.
func (c *cluster) close() {
	if c.balancer != nil {
		c.balancer.close()
	}
	for _, p := range c.processes {
		if p.running() {
			_ = p.signal(syscall.SIGCONT)
			_ = p.signalAndWait(syscall.SIGKILL, 5*time.Second)
		}
	}
}

func taskID(team, request string) order.TaskID {
	return order.NewTaskID(order.TeamName(team), order.RequestID(request), 0)
}
