package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"tinsail/internal/standin/consul"
)

// execLab replaces this process by the laboratory's program, tinsail-lab. It is a separate binary so that the dispatcher's links none
// of its libraries.
func execLab(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), "tinsail-lab")
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath("tinsail-lab"); err != nil {
			return inputError{fmt.Errorf("tinsail-lab stands neither beside %s nor on the path: make build makes it", self)}
		}
	}
	return syscall.Exec(path, append([]string{path}, args...), os.Environ())
}

func labCommand() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Play scenarios, compare variants, and stand-ins of other systems", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	var listen, service string
	var instances int
	c := &cobra.Command{
		Use: "consul", Short: "A stand-in of a Consul agent, with faults on command", Args: noArgs,
		Long: `lab consul answers the part of Consul's HTTP API that has to do with services and their health,
until Ctrl-C. Services are registered as with Consul; faults are ordered by PUT /lab/faults with
any of Silent, Reset, Status, Slow (nanoseconds), Half, Empty, Double, Back, NoLeader, Stale
(nanoseconds), Malformed; {} ends them all. It listens on loopback addresses alone.`,
		Example: `  tinsail lab consul --listen 127.0.0.1:8500 --instances 3
  curl -X PUT -d '{"Silent":true}' http://127.0.0.1:8500/lab/faults
  curl -X PUT 'http://127.0.0.1:8500/v1/agent/service/maintenance/lab-1?enable=true'`,
		RunE: func(c *cobra.Command, _ []string) error {
			host, _, err := net.SplitHostPort(listen)
			if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
				return inputError{fmt.Errorf("--listen is %q, want a loopback address and a port", listen)}
			}
			if instances < 0 || instances > 100_000 {
				return inputError{fmt.Errorf("--instances is %d, want 0 to 100000", instances)}
			}
			a, err := consul.StartAt(listen)
			if err != nil {
				return err
			}
			defer a.Close()
			for i := range instances {
				a.Put(consul.Service{ID: fmt.Sprint("lab-", i+1), Service: service, Address: "127.0.0.1", Port: 9001 + i%50_000})
			}
			fmt.Fprintln(c.OutOrStdout(), strings.TrimSpace("a stand-in of a Consul agent at http://"+a.Address+", until Ctrl-C"))
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			<-ctx.Done()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8500", "loopback address and port")
	c.Flags().StringVar(&service, "service", "photo-workers", "name of the service of --instances")
	c.Flags().IntVar(&instances, "instances", 0, "instances that are there from the start")
	lab.AddCommand(c)
	for use, short := range map[string]string{"run": "Play a scenario in virtual time and judge it", "compare": "Compare two variants on a scenario, with an interval",
		"sweep":   "Play a scenario over a range of one parameter",
		"live":    "Play a scenario on loopback sockets with the real program",
		"record":  "Write the arrivals of a scenario as a recording",
		"inspect": "Sum a recording up",
		"scale":   "Stretch a recording in time, or multiply its arrivals",
		"cut":     "Keep a stretch of a recording, moved to start at 0"} {
		lab.AddCommand(&cobra.Command{Use: use, Short: short, DisableFlagParsing: true, Args: cobra.ArbitraryArgs,
			RunE: func(_ *cobra.Command, args []string) error { return execLab(append([]string{use}, args...)) }})
	}
	return lab
}
