// Command testbed plays one case of the review: it starts entry hosts as
// processes beside stand-ins of the platform, workers and clients, and judges
// what these see. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

var errNotAccepted = errors.New("a job was not accepted before the disruption")

var zones = []string{"east", "west", "south"}

func main() {
	calm := flag.Bool("calm", false, "play the case without its disruption")
	flag.Parse()
	if flag.NArg() != 2 {
		fmt.Fprintln(os.Stderr, "usage: testbed [-calm] CASE FOLDER")
		os.Exit(2)
	}
	name, folder := flag.Arg(0), flag.Arg(1)
	plays := map[string]struct {
		rule string
		play func(record *Record, trouble bool) (*System, error)
	}{
		"partition": {"TWICE", playPartition},
		"ends":      {"TWICE", playEnds},
		"reborn":    {"TWICE", playReborn},
		"route":     {"LOST", playRoute},
		"gang":      {"LOST", playGang},
		"cancel":    {"UNASKED", playCancel},
		"cooldown":  {"LOST", playCooldown},
		"waiting":   {"MIXED", playWaiting},
		"leave":     {"LOST", playLeave},
	}
	c, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		os.Exit(2)
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go endProcesses()
	record.add("case %s, with the disruption: %t", name, !*calm)
	s, err := c.play(record, !*calm)
	if s != nil {
		s.close()
	}
	if err != nil {
		record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	broken := 0
	for _, b := range s.fleet.broken {
		if strings.HasPrefix(b, c.rule) {
			broken++
			if broken <= 3 {
				fmt.Println(b)
			}
		}
	}
	fmt.Printf("%s was broken %d times; %d breaks of all rules\n", c.rule, broken, len(s.fleet.broken))
	record.add("%s was broken %d times", c.rule, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// playPartition cuts the owner's zone off from the others and from the store
// for 12 s, with its two hosts and its workers.
func playPartition(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 2, 2)
	if err != nil {
		return s, err
	}
	owner := s.owner()
	if owner == nil {
		return s, errors.New("no owner")
	}
	record.add("the owner is %s in %s", owner.name, owner.zone)
	j := s.newJob(Step{count: 18, cpu: 8000, mem: 16000, work: 5 * time.Second, perWorker: 3})
	if !s.submit(j, "r-1") {
		return s, errNotAccepted
	}
	time.Sleep(time.Second)
	if trouble {
		record.add("zone %s is partitioned from the others", owner.zone)
		inside := func(place string) bool { return place == owner.zone || strings.HasSuffix(place, "@"+owner.zone) }
		s.net.cut(func(a, b string) bool { return inside(a) && !inside(b) })
	}
	time.Sleep(12 * time.Second)
	s.net.heal()
	record.add("the partition has ended")
	time.Sleep(10 * time.Second)
	return s, nil
}

// playEnds takes the store down for 4.5 s while more than 500 tasks end on one
// worker.
func playEnds(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 1, 1)
	if err != nil {
		return s, err
	}
	for range 12 {
		j := s.newJob(Step{count: 60, cpu: 80, mem: 300, work: 4 * time.Second})
		if !s.submit(j, "r-1") {
			return s, errNotAccepted
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		record.add("the store is down")
		s.store.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		s.store.setDown(false)
		record.add("the store is back")
	}
	time.Sleep(10 * time.Second)
	return s, nil
}

// playReborn cuts one of six workers off from all hosts. It crashes behind the
// cut and starts again under its ID.
func playReborn(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 2, 1)
	if err != nil {
		return s, err
	}
	const id = "w00"
	if trouble {
		record.add("worker %s is cut off from all hosts", id)
		s.net.cut(func(a, b string) bool { return strings.HasPrefix(a, id+"@") && b != "store" })
	}
	j := s.newJob(Step{count: 16, cpu: 4000, mem: 8000, work: 5 * time.Second})
	if !s.submit(j, "r-1") {
		return s, errNotAccepted
	}
	time.Sleep(time.Second)
	if trouble {
		s.fleet.workers[id].crash()
	}
	time.Sleep(2500 * time.Millisecond)
	s.net.heal()
	record.add("the cut has ended")
	time.Sleep(12 * time.Second)
	return s, nil
}

// playRoute replaces the route of an accepted job, whose second step waits for
// the first, by a route with another name and the same host, path and service.
func playRoute(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 1, 1)
	if err != nil {
		return s, err
	}
	j := s.newJob(Step{count: 2, cpu: 2000, mem: 1000, work: 2 * time.Second},
		Step{count: 2, cpu: 2000, mem: 1000, work: time.Second, after: []int{0}})
	if !s.submit(j, "r-1") {
		return s, errNotAccepted
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.configure("r-9:r-1", "r-2")
	} else {
		s.configure("r-1", "r-2", "r-9")
	}
	time.Sleep(finishTime)
	s.watchIdle(5 * time.Second)
	s.call(s.hosts[0], http.MethodGet, "/r-1/"+j.id, nil)
	return s, nil
}

// playCancel cancels a job of 100 tasks while the workers leave half of the
// orders unanswered and carry them out late.
func playCancel(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 2, 1)
	if err != nil {
		return s, err
	}
	if trouble {
		record.add("workers leave half of the orders unanswered and carry them out late")
		s.fleet.setLate(0.5)
	}
	j := s.newJob(Step{count: 100, cpu: 600, mem: 2000, work: 5 * time.Second})
	if !s.submit(j, "r-1") {
		return s, errNotAccepted
	}
	time.Sleep(500 * time.Millisecond)
	if !s.cancel(j, "r-1") {
		return s, errors.New("the cancelling was not acknowledged")
	}
	time.Sleep(5 * time.Second)
	s.fleet.setLate(0)
	record.add("workers answer all orders again")
	time.Sleep(8 * time.Second)
	return s, nil
}

// playGang loses one of eight workers for good, so that a gang as wide as the
// eight has no room, and hands in small jobs of a less urgent queue.
func playGang(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, []string{"east", "west"}, 4, 2)
	if err != nil {
		return s, err
	}
	if trouble {
		s.fleet.workers["w07"].leave()
	}
	time.Sleep(7 * time.Second)
	gang := s.newJob(Step{count: 32, cpu: 16000, mem: 32000, work: 12 * time.Second, gang: true})
	if !s.submit(gang, "r-1") {
		return s, errNotAccepted
	}
	time.Sleep(500 * time.Millisecond)
	var small []*Job
	for range 5 {
		j := s.newJob(Step{count: 2, cpu: 2000, mem: 1000, work: time.Second})
		if !s.submit(j, "r-2") {
			return s, errNotAccepted
		}
		small = append(small, j)
	}
	time.Sleep(finishTime)
	s.watchIdle(5 * time.Second)
	return s, nil
}

// playCooldown runs twenty healthy lasting jobs and one whose tasks fail again
// and again, and then hands in another healthy one.
func playCooldown(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 2, 1)
	if err != nil {
		return s, err
	}
	healthy := func() bool {
		return s.submit(s.newJob(Step{count: 2, cpu: 500, mem: 1000, work: time.Hour, lasting: true}), "r-1")
	}
	for range 20 {
		if !healthy() {
			return s, errNotAccepted
		}
	}
	work := time.Hour
	if trouble {
		work = time.Second
	}
	poison := s.newJob(Step{count: 12, cpu: 2000, mem: 1000, work: work, lasting: true, failing: true, perWorker: 2})
	if !s.submit(poison, "r-1") {
		return s, errNotAccepted
	}
	s.watchIdle(14 * time.Second)
	if !healthy() {
		return s, errNotAccepted
	}
	s.watchIdle(20 * time.Second)
	return s, nil
}

// playWaiting hands in ten jobs that need the label of one worker, which is
// unhealthy and rejects all starts, and asks how many jobs wait.
func playWaiting(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 3, 1)
	if err != nil {
		return s, err
	}
	s.fleet.workers["w00"].busy = trouble
	for range 10 {
		j := s.newJob(Step{count: 1, cpu: 2000, mem: 1000, work: time.Second, label: "r1-0"})
		if !s.submit(j, "r-1") {
			return s, errNotAccepted
		}
	}
	// visibleMs and 2 s.
	time.Sleep(5500 * time.Millisecond)
	s.fleet.mu.Lock()
	waiting := 0
	for id := range s.fleet.jobs {
		if len(s.fleet.tasks[id+".0.0.0"]) == 0 {
			waiting++
		}
	}
	s.fleet.mu.Unlock()
	_, text := s.call(s.hosts[0], http.MethodGet, "/r-1/", nil)
	var answer struct {
		Waiting int `json:"waiting"`
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		return s, err
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if 2*answer.Waiting < waiting {
		s.fleet.breakRule("MIXED", "%d jobs are said to wait, and %d have begun nothing", answer.Waiting, waiting)
	}
	return s, nil
}

// playLeave takes a worker with lasting tasks away after it has drained, and
// stops the owner, as planned, just before the worker leaves.
func playLeave(record *Record, trouble bool) (*System, error) {
	s, err := newSystem(record, zones, 2, 1)
	if err != nil {
		return s, err
	}
	j := s.newJob(Step{count: 6, cpu: 2000, mem: 1000, work: time.Hour, lasting: true})
	if !s.submit(j, "r-1") {
		return s, errNotAccepted
	}
	time.Sleep(time.Second)
	if trouble {
		owner := s.owner()
		if owner == nil {
			return s, errors.New("no owner")
		}
		go s.fleet.workers["w00"].drain(2500 * time.Millisecond)
		time.Sleep(2400 * time.Millisecond)
		go s.terminate(owner)
	}
	s.watchIdle(16 * time.Second)
	return s, nil
}
