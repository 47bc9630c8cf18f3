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

// maxDoorCallers limits the concurrent connections to the door, the operators' control listener: each may use a descriptor.
const maxDoorCallers = 16

// doorDescriptors returns how many descriptors of the limit are reserved for the door: its callers, one connection being
// accepted, and the listener.
func doorDescriptors(cfg *config.Config) int {
	if cfg.Admin == "" {
		return 0
	}
	return maxDoorCallers + 2
}

// addDoor opens the operators' control listener if the configuration has an address for it.
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

// handleCall carries out an operator's call. It never waits for requests, for the core or for a peer.
func (d *dispatcher) handleCall(c door.Call) admin.Answer {
	yes := func(message string) admin.Answer { return admin.Answer{Status: 200, Message: message} }
	stored := func(err error, message string) admin.Answer {
		switch {
		case err == nil:
			return yes(message)
		case errors.Is(err, maintain.ErrUnknown):
			return admin.Answer{Status: 404, Message: err.Error()}
		}
		return admin.Answer{Status: 500, Message: "holds in this process, but would not outlive it: " + err.Error()}
	}
	no := func(status int, message string) admin.Answer { return admin.Answer{Status: status, Message: message} }
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
		return stored(d.bans.SetOutOfService(true), "goes out of service: not ready, drains, and runs on")
	case door.InService:
		if !d.service.ReturnToService() {
			return no(503, "shutting down")
		}
		d.handover.sendOutOfService(false)
		return stored(d.bans.SetOutOfService(false), "in service")
	case door.Offline:
		return stored(d.bans.Offline(c.Backend), "nothing more goes to "+c.Backend)
	case door.Online:
		return stored(d.bans.Online(c.Backend), c.Backend+" is used again, if its source says that it is ready")
	case door.Metrics:
		text, err := d.metrics()
		if err != nil {
			return no(500, err.Error())
		}
		return yes(text)
	}
	return no(501, "unknown")
}

// statePath returns the path of a file in the temporary folder, which outlives a process of this dispatcher but not its machine.
// The file name is unique to the dispatcher, as others may share the folder.
func statePath(cfg *config.Config, kind string) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("tinsail-%016x.%s", platform.Hash(cfg.Name+"|"+cfg.Listen), kind))
}
