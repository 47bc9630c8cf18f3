package main

import (
	"fmt"
	"net"

	"tinsail/internal/config"
	"tinsail/internal/door"
	"tinsail/internal/network/admin"
	"tinsail/internal/service"
)

// doorMost is how many callers the door has at a time: each may take a descriptor.
const doorMost = 16

// doorSockets are the descriptors that the door takes out of the limit: its callers, one being
// accepted, and the listener.
func doorSockets(cfg *config.Config) int {
	if cfg.Admin == "" {
		return 0
	}
	return doorMost + 2
}

// addDoor opens the operators' door, where the configuration has one.
func (d *dispatcher) addDoor() (err error) {
	if d.cfg.Admin == "" {
		return nil
	}
	if d.doorAt, err = net.Listen("tcp", d.cfg.Admin); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	d.door = &admin.Server{Most: doorMost, Do: d.call, Log: d.log}
	return nil
}

// call does what an operator asks for. Nothing here waits for reqs, for the core or for a peer.
func (d *dispatcher) call(c door.Call) admin.Answer {
	yes := func(says string) admin.Answer { return admin.Answer{Status: 200, Says: says} }
	no := func(status int, says string) admin.Answer { return admin.Answer{Status: status, Says: says} }
	switch c.Op {
	case door.Ready:
		switch state := d.service.State(); {
		case state == service.HandedOver, state == service.ShuttingDown:
			return no(503, state.String())
		case !d.core.Known():
			return no(503, "no list of backends yet")
		default:
			return yes("serves, " + state.String())
		}
	case door.OutOfService:
		d.service.Out()
		return yes("goes out of service: not ready, drains, and runs on")
	case door.InService:
		if !d.service.In() {
			return no(503, "shutting down")
		}
		return yes("in service")
	}
	return no(501, "not built yet")
}
