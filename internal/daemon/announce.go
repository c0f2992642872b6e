package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/duty"
)

const (
	announceInterval      = time.Second
	directoryInterval     = 2 * time.Second
	directoryTimeout      = time.Second
	watchersPerDataCentre = 2
)

type directoryEntry struct {
	Host       string `json:"Host"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	Address    string `json:"Address"`
	TTLSeconds int    `json:"TTLSeconds"`
}

// announce is the background task that keeps this host registered in the client
// directory. Each entry expires after directoryTTLSeconds.
func (d *Daemon) announce(ctx context.Context) error {
	var registeredAt time.Time
	return duty.Every(ctx, d.clock, announceInterval, func(ctx context.Context) {
		if now := d.clock.Now(); now.Sub(registeredAt) >= directoryInterval && !d.draining.Load() && d.feed.State().Version > 0 {
			registeredAt = now
			d.registerInDirectory(ctx)
		}
	})
}

func (d *Daemon) registerInDirectory(ctx context.Context) {
	body, err := json.Marshal(directoryEntry{
		Host: d.settings.Host, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
		Address: d.settings.CallerAddress, TTLSeconds: directoryTTLSeconds,
	})
	if err != nil {
		return
	}
	d.updateDirectory(ctx, fasthttp.MethodPut, body)
}

func (d *Daemon) removeFromDirectory(ctx context.Context) {
	d.updateDirectory(ctx, fasthttp.MethodDelete, nil)
}

func (d *Daemon) updateDirectory(ctx context.Context, method string, body []byte) {
	address := d.settings.PlatformAddress
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + "/directory/" + d.settings.Host)
	request.SetBody(body)
	response, err := d.targetPool.Do(ctx, address, request)
	if err != nil {
		d.log.V(1).Info("The client directory could not be updated.", "Error", err.Error())
		return
	}
	_, _ = response.ReadAll(maxProbeResponseBytes)
}

// watchesStore reports whether this host is one of the hosts of its data centre that
// watch the store: all hosts, or those that ranksFirstFor selects if there are more
// than watchersPerDataCentre.
func (d *Daemon) watchesStore() bool {
	hosts := d.dataCentreHostsInUse()
	return len(hosts) <= watchersPerDataCentre || d.ranksFirstFor("store watcher", hosts)
}
