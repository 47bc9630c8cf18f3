package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"tinsail/internal/config"
	"tinsail/internal/door"
	"tinsail/internal/network/admin"
	"tinsail/internal/network/maintain"
	"tinsail/internal/platform"
	"tinsail/internal/service"
)

// maxDoorCallers is how many callers the door has at a time: each may take a descriptor.
const maxDoorCallers = 16

// doorDescriptors are the descriptors that the door takes out of the limit: its callers, one being
// accepted, and the listener.
func doorDescriptors(cfg *config.Config) int {
	if cfg.Admin == "" {
		return 0
	}
	return maxDoorCallers + 2
}

// addDoor opens the operators' door, where the configuration has one.
func (d *dispatcher) addDoor() (err error) {
	if d.cfg.Admin == "" {
		return nil
	}
	if d.doorListener, err = net.Listen("tcp", d.cfg.Admin); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	d.door = &admin.Server{MaxCallers: maxDoorCallers, Handle: d.handleCall, Log: d.log}
	return nil
}

// handleCall does what an operator asks for. Nothing here waits for reqs, for the core or for a peer.
func (d *dispatcher) handleCall(c door.Call) admin.Answer {
	yes := func(says string) admin.Answer { return admin.Answer{Status: 200, Message: says} }
	kept := func(err error, says string) admin.Answer {
		switch {
		case err == nil:
			return yes(says)
		case errors.Is(err, maintain.ErrUnknown):
			return admin.Answer{Status: 404, Message: err.Error()}
		}
		return admin.Answer{Status: 500, Message: "holds in this process, but would not outlive it: " + err.Error()}
	}
	no := func(status int, says string) admin.Answer { return admin.Answer{Status: status, Message: says} }
	switch c.Operation {
	case door.Ready:
		switch state := d.service.State(); {
		case state == service.HandedOver, state == service.ShuttingDown:
			return no(503, state.String())
		case !d.core.HasList():
			return no(503, "no list of backends yet")
		case !d.handover.serves():
			return no(503, "another process serves still")
		case !d.core.Serves():
			return no(503, "does not know which policy of the fleet holds: "+d.accord.NotAcceptingReason())
		default:
			return yes("serves, " + state.String())
		}
	case door.OutOfService:
		d.service.TakeOutOfService()
		d.handover.sendOutOfService(true)
		return kept(d.bans.SetOutOfService(true), "goes out of service: not ready, drains, and runs on")
	case door.InService:
		if !d.service.ReturnToService() {
			return no(503, "shutting down")
		}
		d.handover.sendOutOfService(false)
		return kept(d.bans.SetOutOfService(false), "in service")
	case door.Offline:
		return kept(d.bans.Offline(c.Backend), "nothing more goes to "+c.Backend)
	case door.Online:
		return kept(d.bans.Online(c.Backend), c.Backend+" is used again, if its source says that it is ready")
	case door.Metrics:
		text, err := d.metrics()
		if err != nil {
			return no(500, err.Error())
		}
		return yes(text)
	}
	return no(501, "unknown")
}

// statePath is a place in the folder that outlives a process of this dispatcher, but not the
// dispatcher's machine. The name is the dispatcher's own: others may share the folder.
func statePath(cfg *config.Config, kind string) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("tinsail-%016x.%s", platform.Hash(cfg.Name+"|"+cfg.Listen), kind))
}
