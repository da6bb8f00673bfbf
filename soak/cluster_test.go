package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"chervilhollow/platform/standin"
)

// cluster is a whole deployment on its own loopback addresses: the entry hosts,
// and the stand-in of the platform with one store handler per host and the
// workers. Proxies between them inject network faults.
type cluster struct {
	dir           string
	platform      *standin.Platform
	stores        []*standin.Store
	hosts         []*entryHost
	workers       []*standin.Worker
	workerProxies []*proxy
}

const (
	// defaultHosts is the number of hosts unless SOAK_HOSTS is set. Each is a
	// process.
	defaultHosts = 8
	workerCount  = 12

	workerMilliCPU  = 8000
	workerMemoryMiB = 16 << 10

	// teamMilliCPU is the team's limit. It is below the 96000 of all workers, so
	// that the limit takes effect.
	teamMilliCPU = 72000

	settingsFormat = `{
  "peer_address": %q, "peer_listen_address": %q, "admin_address": %q, "caller_address": %q, "ready_address": %q,
  "store_address": %q, "advice_address": %q, "failure_domain": %q,
  "peer_secret": "chervilhollow-soak-hosts",
  "machine": { "cores": 1, "processor": 0.4, "memory_mebibytes": 284 },
  "limits": { "max_lease": "10s", "keep_ended": "120s" }
}`
)

var domains = []string{"east", "west", "south"}

// newCluster starts the platform and all hosts. The seed decides which runs of
// tasks fail. Clusters that run at the same time need different subnets.
func newCluster(dir, program, subnet string, seed uint64, hosts int) (*cluster, error) {
	c := &cluster{dir: dir, platform: standin.New(seed)}
	advice, err := c.platform.ServeAdvice(subnet + ".1:7000")
	if err != nil {
		return c, err
	}
	if err := c.platform.Configure(1, team("key-1")); err != nil {
		return c, err
	}
	for i := range workerCount {
		if err := c.addWorker(subnet, i); err != nil {
			return c, err
		}
	}
	for i := range hosts {
		if err := c.addHost(subnet, program, advice, i); err != nil {
			return c, err
		}
	}
	for _, h := range c.hosts {
		if err := waitReady("http://" + h.adminAddress + "/ready"); err != nil {
			return c, err
		}
	}
	return c, nil
}

func team(keys ...string) standin.Team {
	return standin.Team{Name: "engravers", Keys: keys, CPU: teamMilliCPU}
}

// addWorker starts a worker behind a proxy. One third of the worker clocks run
// 2 % fast and one third 2 % slow.
func (c *cluster) addWorker(subnet string, i int) error {
	address := fmt.Sprintf("%s.2:%d", subnet, 7000+i)
	p, err := newProxy(fmt.Sprintf("%s.3:%d", subnet, 7000+i), address)
	if err != nil {
		return err
	}
	c.workerProxies = append(c.workerProxies, p)
	drift := 0.02 * (float64(i%3) - 1)
	w, err := c.platform.AddWorker(fmt.Sprintf("w%d", i), domains[i%3], fmt.Sprintf("r1-%d", i%4), address, p.address(),
		workerMilliCPU, workerMemoryMiB, drift)
	if err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	return nil
}

// addHost starts an entry host with proxies for its connections to the store,
// to its peers and from callers.
func (c *cluster) addHost(subnet, program, advice string, i int) error {
	store := c.platform.NewStore()
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", subnet, 10+i, port) }
	storeAddress, err := store.Serve(address(7100))
	if err != nil {
		return err
	}
	h := &entryHost{
		name: fmt.Sprintf("host%d", i), domain: domains[i%3], program: program, adminAddress: address(7003),
		settingsPath: filepath.Join(c.dir, fmt.Sprintf("host%d.json", i)), logPath: filepath.Join(c.dir, fmt.Sprintf("host%d.log", i)),
	}
	c.stores, c.hosts = append(c.stores, store), append(c.hosts, h)
	var errs [3]error
	h.storeProxy, errs[0] = newProxy(address(7101), storeAddress)
	h.peerProxy, errs[1] = newProxy(address(7102), address(7001))
	h.callerProxy, errs[2] = newProxy(address(7103), address(7002))
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	text := fmt.Sprintf(settingsFormat, h.peerProxy.address(), address(7001), h.adminAddress, address(7002), address(7004),
		h.storeProxy.address(), advice, h.domain)
	if err := os.WriteFile(h.settingsPath, []byte(text), 0o644); err != nil {
		return err
	}
	return h.start()
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.close()
	}
	for _, p := range c.workerProxies {
		p.close()
	}
	c.platform.Close()
}

// readyTimeout is how long a deployment may take to be ready. It is the
// platform's bound for recovery.
const readyTimeout = 12 * time.Second

func waitReady(url string) error {
	var lastErr error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(url)
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
	return fmt.Errorf("%s was not ready in %s: %w", url, readyTimeout, lastErr)
}
