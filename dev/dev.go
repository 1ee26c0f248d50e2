// SPDX-License-Identifier: MIT

// Package dev runs a whole small deployment in one process on the loopback
// address: a box with all roles, two unlike stand-in engines and a stand-in
// plain service, each with its slot.
package dev

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lynxramp.org/box"
	"lynxramp.org/catalog"
	"lynxramp.org/engine/fake"
	"lynxramp.org/event"
	"lynxramp.org/settings"
)

// What the small deployment serves.
const (
	Model   = "lynx-chef"
	Service = "card-api"
	// TeamKey is the key of its one team.
	TeamKey = "dev-key"
)

// Speeds of the two engines, relative to the reference engine.
const (
	fastSpeed = 1.5
	slowSpeed = 0.5
)

const (
	loopback   = "127.0.0.1"
	modelPool  = "chef"
	plainPool  = "card"
	boxID      = "dev-box"
	dataCentre = "dev"
	readyPoll  = 20 * time.Millisecond
)

// endpoint is a stand-in and what the catalog says of it.
type endpoint struct {
	name    event.EndpointID
	pool    string
	kind    catalog.Kind
	speed   float64
	handler http.Handler
	run     func(context.Context)
}

// Run runs the deployment until ctx ends. callers is where it takes requests,
// as IP:port. When it is ready it prints to out a curl line that works.
func Run(ctx context.Context, callers string, out io.Writer, log *zap.Logger) error {
	endpoints := []endpoint{
		newEngine("chef-fast", fastSpeed),
		newEngine("chef-slow", slowSpeed),
		{name: "card-1", pool: plainPool, kind: catalog.KindPlain, speed: 1, handler: (&fake.Service{}).Handler()},
	}
	boxes, err := freeAddress()
	if err != nil {
		return err
	}
	control := []settings.Peer{{ID: boxID, Address: boxes}}
	data, err := os.MkdirTemp("", "lynxramp-dev")
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	defer os.RemoveAll(data)
	keys := box.Keys{Boxes: rand.Text()}
	group, ctx := errgroup.WithContext(ctx)
	b, err := box.New(boxSettings(callers, boxes, data, control), newCatalog(endpoints), keys, log)
	if err != nil {
		return err
	}
	for _, e := range endpoints {
		if err := startEndpoint(ctx, group, e, control, keys.Boxes, log); err != nil {
			return err
		}
	}
	group.Go(func() error { return b.Run(ctx) })
	group.Go(func() error { return announce(ctx, callers, out) })
	return group.Wait()
}

func newEngine(name event.EndpointID, speed float64) endpoint {
	e := fake.NewEngine(fake.DefaultProfile().Scaled(speed))
	return endpoint{name: name, pool: modelPool, kind: catalog.KindModel, speed: speed, handler: e.Handler(), run: e.Run}
}

func boxSettings(callers, boxes, data string, control []settings.Peer) settings.Box {
	return settings.Box{
		ID:         boxID,
		DataCentre: dataCentre,
		Roles:      []settings.Role{settings.RoleEntry, settings.RoleControl},
		Listen:     settings.Listen{Callers: callers, Boxes: boxes},
		Control:    control,
		DataDir:    data,
		Limits: settings.Limits{
			MaxBodyBytes: settings.DefaultMaxBodyBytes,
			MaxHeldBytes: settings.DefaultMaxHeldBytes,
			MaxRequests:  settings.DefaultMaxRequests,
			BodyTimeout:  catalog.Duration(settings.DefaultBodyTimeout),
		},
		Drain: settings.Drain{Timeout: catalog.Duration(settings.DefaultDrainTimeout)},
	}
}

func newCatalog(endpoints []endpoint) catalog.Catalog {
	c := catalog.Catalog{
		Tiers: []catalog.Tier{{Name: "gold", Rank: 3}, {Name: "bronze", Rank: 1}},
		Teams: []catalog.Team{{Name: "dev-team", KeyHashes: []string{catalog.HashKey(TeamKey)}, Tier: "gold"}},
		Services: []catalog.Service{
			{Name: Model, Kind: catalog.KindModel, Pool: modelPool, Models: []string{Model}, Deadline: catalog.Duration(time.Minute)},
			{Name: Service, Kind: catalog.KindPlain, Pool: plainPool, Deadline: catalog.Duration(10 * time.Second)},
		},
		Pools: []catalog.Pool{{Name: modelPool, MaxWaiting: 1000}, {Name: plainPool, MaxWaiting: 1000}},
	}
	for _, e := range endpoints {
		for i := range c.Pools {
			if c.Pools[i].Name == e.pool {
				c.Pools[i].Endpoints = append(c.Pools[i].Endpoints, catalog.Endpoint{
					Name: e.name, Concurrency: fake.DefaultProfile().MaxBatch, Speed: e.speed, DataCentre: dataCentre,
				})
			}
		}
	}
	return c
}

// startEndpoint runs a stand-in and the slot beside it.
func startEndpoint(ctx context.Context, group *errgroup.Group, e endpoint, control []settings.Peer, key string, log *zap.Logger) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	slotAddress, err := freeAddress()
	if err != nil {
		return err
	}
	s, err := box.NewSlot(settings.Slot{
		Endpoint:        e.name,
		Pool:            e.pool,
		Kind:            e.kind,
		DataCentre:      dataCentre,
		Listen:          slotAddress,
		Address:         slotAddress,
		EndpointAddress: listener.Addr().String(),
		Control:         control,
		MaxBodyBytes:    settings.DefaultMaxBodyBytes,
		Drain:           settings.Drain{Timeout: catalog.Duration(settings.DefaultDrainTimeout)},
	}, key, log)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	if e.run != nil {
		go e.run(context.WithoutCancel(ctx))
	}
	group.Go(func() error { return s.Run(ctx) })
	return nil
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	return l.Addr().String(), errors.Wrap(l.Close(), "free address")
}

// announce waits until a request is served and prints how to make one.
func announce(ctx context.Context, callers string, out io.Writer) error {
	for ctx.Err() == nil {
		if probe(ctx, callers) {
			fmt.Fprintf(out, "lynxramp is serving. Try:\n\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"a tagine for four\"}]}'\n\ncurl http://%s/svc/%s/recipes/7 -H 'Authorization: Bearer %s'\n\nStop it with Ctrl-C.\n",
				callers, TeamKey, Model, callers, Service, TeamKey)
			return nil
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// probe reports whether a call to the plain service is answered.
func probe(ctx context.Context, callers string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callers+"/svc/"+Service+"/probe", nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+TeamKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the status is enough
	return response.StatusCode == http.StatusOK
}
