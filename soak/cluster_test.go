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

// cluster is a whole deployment on loopback addresses of its own.
type cluster struct {
	dir      string
	platform *standin.Platform
	stores   []*standin.Store
	hosts    []*entryHost
	workers  []*standin.Worker
	links    []*proxy
}

const (
	// usualHosts is how many hosts run if SOAK_HOSTS does not say so; each is
	// a process.
	usualHosts  = 8
	workerCount = 12

	workerCPU    = 8000
	workerMemory = 16 << 10

	// teamCPU is below what all workers have, so that the limit is felt.
	teamCPU = 72000

	settingsFormat = `{
  "peer_address": %q, "peer_listen_address": %q, "admin_address": %q, "caller_address": %q, "ready_address": %q,
  "store_address": %q, "advice_address": %q, "failure_domain": %q,
  "peer_secret": "chervilhollow-soak-hosts",
  "machine": { "cores": 1, "processor": 0.4, "memory_mebibytes": 284 },
  "limits": { "max_lease": "10s", "keep_ended": "120s" }
}`
)

var domains = []string{"east", "west", "south"}

// newCluster starts the platform and all hosts. The seed chooses which runs
// fail; the subnet keeps clusters that run at the same time apart.
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
		if err := waitReady("http://" + h.admin + "/ready"); err != nil {
			return c, err
		}
	}
	return c, nil
}

func team(keys ...string) standin.Team {
	return standin.Team{Name: "engravers", Keys: keys, CPU: teamCPU}
}

// addWorker starts a worker behind a proxy. Their clocks run up to 2 % fast or
// slow.
func (c *cluster) addWorker(subnet string, i int) error {
	address := fmt.Sprintf("%s.2:%d", subnet, 7000+i)
	link, err := newProxy(fmt.Sprintf("%s.3:%d", subnet, 7000+i), address)
	if err != nil {
		return err
	}
	c.links = append(c.links, link)
	drift := 0.02 * (float64(i%3) - 1)
	w, err := c.platform.AddWorker(fmt.Sprintf("w%d", i), domains[i%3], fmt.Sprintf("r1-%d", i%4), address, link.address(),
		workerCPU, workerMemory, drift)
	if err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	return nil
}

func (c *cluster) addHost(subnet, program, advice string, i int) error {
	store := c.platform.NewStore()
	at := func(port int) string { return fmt.Sprintf("%s.%d:%d", subnet, 10+i, port) }
	storeAddress, err := store.Serve(at(7100))
	if err != nil {
		return err
	}
	h := &entryHost{
		name: fmt.Sprintf("host%d", i), domain: domains[i%3], program: program, admin: at(7003),
		settings: filepath.Join(c.dir, fmt.Sprintf("host%d.json", i)), log: filepath.Join(c.dir, fmt.Sprintf("host%d.log", i)),
	}
	c.stores, c.hosts = append(c.stores, store), append(c.hosts, h)
	var failed [3]error
	h.toStore, failed[0] = newProxy(at(7101), storeAddress)
	h.peers, failed[1] = newProxy(at(7102), at(7001))
	h.callers, failed[2] = newProxy(at(7103), at(7002))
	if err := errors.Join(failed[:]...); err != nil {
		return err
	}
	text := fmt.Sprintf(settingsFormat, h.peers.address(), at(7001), h.admin, at(7002), at(7004),
		h.toStore.address(), advice, h.domain)
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return err
	}
	return h.start()
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.close()
	}
	for _, l := range c.links {
		l.close()
	}
	c.platform.Close()
}

// readyLimit is how long a deployment may take to be ready, by the platform's
// bound for recovery.
const readyLimit = 12 * time.Second

func waitReady(url string) error {
	var last error
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(url)
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
	return fmt.Errorf("%s was not ready in %s: %w", url, readyLimit, last)
}
