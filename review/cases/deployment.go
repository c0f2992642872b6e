//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Headers of the platform's pages.
const (
	headerID          = "Sequoiarack-Request-Id"
	headerDeadline    = "Sequoiarack-Deadline-Ms"
	headerSeal        = "Sequoiarack-Response-Seal"
	headerExpect      = "Sequoiarack-Expect-Instance"
	headerLoad        = "Sequoiarack-Server-Load"
	headerNotExecuted = "Sequoiarack-Not-Executed"
	headerLeaving     = "Server-Leaving"
	headerCold        = "Sequoiarack-Cold-Ms"
	headerInstance    = "Sequoiarack-Instance-Id"

	healthPath = "/health"
	storePort  = 8142
	graceTime  = 8 * time.Second
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
	ran   map[string][]string // replicas that ran a request, by its ID
}

// event writes a line.
func (r *record) event(what, id, who, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %-10s %-18s %-14s %s\n", time.Since(r.began).Seconds(), what, id, who, detail)
}

// run records that a replica begins to run a request.
func (r *record) run(id string, by *replica) {
	r.mu.Lock()
	r.ran[id] = append(r.ran[id], by.id)
	r.mu.Unlock()
	r.event("run", id, by.id, by.service)
}

// runs returns how often each request was run.
func (r *record) runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for id, list := range r.ran {
		out[id] = len(list)
	}
	return out
}

// ranBy returns the replica that ran a request, empty if none did.
func (r *record) ranBy(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ran[id]) == 0 {
		return ""
	}
	return r.ran[id][0]
}

// note writes a line of text.
func (r *record) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.event("note", "-", "-", text)
	_, _ = fmt.Fprintln(os.Stderr, text)
}

// processes are the processes that were started.
var processes struct {
	sync.Mutex
	list []*os.Process
}

// endProcesses kills all processes that were started.
func endProcesses() {
	processes.Lock()
	defer processes.Unlock()
	for _, p := range processes.list {
		_ = p.Kill()
	}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	network     string // first two octets
	reservation net.Listener
	folder      string // temporary
	store       *store
	regions     []string
	hosts       []*host
	seeds       []string // peer addresses of the hosts that are started next
	descriptors int      // of each host that is started next, 0 for no limit
	record      *record
}

// host is a process of the gateway.
type host struct {
	name, region, ip string
	command          *exec.Cmd
	ended            chan struct{}
}

func newDeployment(r *record, regions ...string) (*deployment, error) {
	d := &deployment{record: r, regions: regions}
	for range 100 {
		d.network = fmt.Sprintf("127.%d", 10+rand.IntN(200))
		reservation, err := net.Listen("tcp", d.network+".255.1:9999")
		if err == nil {
			d.reservation = reservation
			break
		}
	}
	if d.reservation == nil {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	var err error
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	d.seeds = []string{d.ip(regions[0], 1) + ":8146"}
	d.store, err = newStore(fmt.Sprintf("%s.250.1:%d", d.network, storePort))
	return d, err
}

func zoneOf(region string) string { return region + "-a" }

// ip returns an address in a region.
func (d *deployment) ip(region string, n int) string {
	for i, name := range d.regions {
		if name == region {
			return fmt.Sprintf("%s.%d.%d", d.network, i+1, n)
		}
	}
	panic("unknown region " + region)
}

// startHost starts a gateway with the settings that the deploy file's template renders.
func (d *deployment) startHost(region string, n int) (*host, error) {
	h := &host{name: fmt.Sprintf("front-%s-%d", zoneOf(region), n), region: region, ip: d.ip(region, n)}
	if err := d.launch(h); err != nil {
		return nil, err
	}
	d.hosts = append(d.hosts, h)
	return h, nil
}

func (d *deployment) settingsPath(h *host) string { return filepath.Join(d.folder, h.name+".json") }

// writeSettings writes the settings file of a host.
func (d *deployment) writeSettings(h *host) error {
	zones := map[string]string{}
	for _, r := range d.regions {
		zones[zoneOf(r)] = r
	}
	settings, err := json.Marshal(map[string]any{
		"Host": h.name, "Region": h.region, "DataCentre": zoneOf(h.region), "DataCentres": zones,
		"CallerAddress": h.ip + ":8144", "ReadinessAddress": h.ip + ":8140", "DirectoryAddress": h.ip + ":8143",
		"PeerAddress": h.ip + ":8146", "SharePort": 7660, "MetricsAddress": h.ip + ":7675",
		"StoreAddress": fmt.Sprintf("%s.250.1:%d", d.network, storePort), "Seeds": d.seeds,
		"FleetKeys": []string{"sequoiarack-entry-hosts"}, "DrainSeconds": graceTime.Seconds(),
		"RetryRatio": 0.2, "RetrySlack": 116, "RetryWindowSeconds": 10, "DirectoryTTLSeconds": 1,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsPath(h), settings, 0o600)
}

// launch writes the settings of a host and starts its process.
func (d *deployment) launch(h *host) error {
	if err := d.writeSettings(h); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/sequoiarack", "gateway", "--settings", d.settingsPath(h))
	if d.descriptors > 0 {
		h.command = exec.Command("/bin/sh", "-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(d.descriptors), "target/sequoiarack", "gateway", "--settings", d.settingsPath(h))
	}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	processes.Lock()
	processes.list = append(processes.list, h.command.Process)
	processes.Unlock()
	h.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(h.command, h.ended)
	return nil
}

// kill ends the process of a host at once.
func (h *host) kill() {
	_ = h.command.Process.Kill()
	<-h.ended
}

// awaitReady waits until all hosts are ready.
func (d *deployment) awaitReady() error {
	const longest = 20 * time.Second
	for start := time.Now(); time.Since(start) < longest; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range d.hosts {
			response, err := http.Get("http://" + h.ip + ":8140/sequoiarack/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(d.hosts) {
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready")
}

// close ends all processes.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") != "" {
		_, _ = fmt.Fprintln(os.Stderr, "kept", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// route returns a route of the configuration.
func route(name, hostName, prefix, kind, service string, aim, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": aim.Milliseconds(), "priority": 2, "max_attempts": attempts, "service": service,
	}
}

// configure writes a configuration.
func (d *deployment) configure(version int, routes []map[string]any, services ...string) {
	d.configureCold(version, routes, 0, 0, services...)
}

// configureCold writes a configuration of services whose replicas are cold after their start.
func (d *deployment) configureCold(version int, routes []map[string]any, coldStart time.Duration, coldPerSecond float64, services ...string) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": healthPath, "max_conns": 214, "cold_start_s": coldStart.Seconds(), "cold_per_s": coldPerSecond})
	}
	d.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
