//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zone   = "celje-a"
	region = "celje"
	// restartDelay is how long the platform takes to start a process again that has ended.
	restartDelay = time.Second

	portFront, portReadiness, portDirectory, portControl = 8144, 8140, 8143, 8146
	portInternalFirst, portInternalLast                  = 7660, 7675
)

// fleet is a small deployment on loopback addresses: a store, replicas and entry hosts.
type fleet struct {
	root, folder, temp string
	network            string // first two octets
	reservation        net.Listener
	zones              map[string]string // region by zone
	store              *store
	hosts              []*host
	replicas           []*replica
	record             *record
	maxFiles           int // descriptors of each host, 0 for no limit of its own
}

// record is the file in which a script writes what happened.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func newFleet(root, folder string) (*fleet, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, temp: temp, zones: map[string]string{zone: region}, record: &record{file: file, began: time.Now()}}
	for range 100 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if f.reservation, err = net.Listen("tcp", network+".250.1:9999"); err == nil {
			f.network = network
			break
		}
	}
	if f.network == "" {
		return nil, errors.New("no free loopback network")
	}
	f.store, err = newStore(f.network + ".200.1:8142")
	return f, err
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.end()
	}
	_ = os.RemoveAll(f.temp)
	_ = f.reservation.Close()
	_ = f.record.file.Close()
}

// host is an entry host: a machine with one process of the role in the deploy file.
type host struct {
	fleet  *fleet
	name   string
	ip     string
	zone   string
	config string // path of the settings

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	removed bool
	ends    int // times that the process has ended by itself
}

func (h *host) front() string     { return net.JoinHostPort(h.ip, strconv.Itoa(portFront)) }
func (h *host) readiness() string { return net.JoinHostPort(h.ip, strconv.Itoa(portReadiness)) }
func (h *host) directory() string { return net.JoinHostPort(h.ip, strconv.Itoa(portDirectory)) }

// settings returns the platform's settings of a host, as the pages list them.
func (f *fleet) settings(h *host) map[string]any {
	address := func(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }
	return map[string]any{
		"node": h.name, "ip": h.ip, "zone": h.zone, "region": f.zones[h.zone], "zones": f.zones,
		"internal_ports": []any{portInternalFirst, portInternalLast},
		"seeds":          []any{net.JoinHostPort(f.network+".1.1", strconv.Itoa(portControl))},
		"listen":         map[string]any{"front": address(portFront), "readiness": address(portReadiness), "control": address(portControl), "directory": address(portDirectory)},
		"bounds":         map[string]any{"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 116, "budget_window_s": 10},
		"platform":       map[string]any{"address": f.store.address},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// render fills in the settings template of the deploy file.
func (f *fleet) render(h *host) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy/settings.json.template"))
	if err != nil {
		return err
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		var value any = f.settings(h)
		for _, name := range strings.Split(parts[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case map[string]string:
				value = v[name]
			case []any:
				index, _ := strconv.Atoi(name)
				value = v[index]
			}
		}
		if value == nil {
			missing = fmt.Errorf("no value for %s", parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return string(data)
	})
	if missing != nil {
		return missing
	}
	return os.WriteFile(h.config, []byte(text), 0o600)
}

// addHost adds a machine in a zone and starts its process.
func (f *fleet) addHost(inZone string, octet int) (*host, error) {
	n := len(f.hosts) + 1
	h := &host{fleet: f, name: fmt.Sprintf("front-%s-%d", inZone, n), ip: fmt.Sprintf("%s.%d.%d", f.network, octet, n), zone: inZone}
	h.config = filepath.Join(f.temp, h.name+".json")
	if err := f.render(h); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	return h, h.start()
}

// command returns the program and arguments of the role in the deploy file.
func (f *fleet) command(config string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(f.root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if match == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	words := strings.Fields(string(match[1]))
	for i, word := range words {
		if word == "/etc/sequoiarack/settings.toml" {
			words[i] = config
		}
	}
	return words, nil
}

func (h *host) start() error {
	words, err := h.fleet.command(h.config)
	if err != nil {
		return err
	}
	if h.fleet.maxFiles > 0 {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		words = append([]string{self, "limited", strconv.Itoa(h.fleet.maxFiles)}, words...)
	}
	log, err := os.OpenFile(filepath.Join(h.fleet.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(words[0], words[1:]...)
	command.Dir, command.Stdout, command.Stderr = h.fleet.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIARACK_SETTINGS=" + h.config}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited = command, exited
	h.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		close(exited)
		h.onExit(err)
	}()
	return nil
}

// onExit starts the process again, unless the machine was removed.
func (h *host) onExit(err error) {
	h.mu.Lock()
	removed := h.removed
	if !removed {
		h.ends++
	}
	h.mu.Unlock()
	if removed {
		return
	}
	h.fleet.record.say("the process of %s ended by itself: %v", h.name, err)
	time.Sleep(restartDelay)
	h.mu.Lock()
	removed = h.removed
	h.mu.Unlock()
	if !removed {
		_ = h.start()
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
}

// remove takes the machine away with a signal.
func (h *host) remove(s syscall.Signal) {
	h.mu.Lock()
	h.removed = true
	h.mu.Unlock()
	h.signal(s)
}

// end kills the process and waits for its end.
func (h *host) end() {
	h.remove(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	<-exited
}

func (h *host) endedByItself() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends
}

// awaitReady waits until all hosts answer the readiness check and serve a request.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for _, h := range f.hosts {
		for {
			response, err := client.Get("http://" + h.readiness() + "/sequoiarack/ready")
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// logOf returns the last lines of a host's log that contain a text.
func (h *host) logOf(text string, most int) []string {
	data, _ := os.ReadFile(filepath.Join(h.fleet.temp, h.name+".log"))
	var out []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out[max(0, len(out)-most):]
}

// limited replaces this process by a program with a bounded number of descriptors, the
// max_fds of the settings.
func limited(words []string) error {
	most, err := strconv.ParseUint(words[0], 10, 32)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
		return err
	}
	return syscall.Exec(words[1], words[1:], os.Environ())
}
