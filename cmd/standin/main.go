// Command standin runs small stand-ins for the systems around corianderhub.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/standin"
)

const headerTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	pa := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	pa.AddCommand("platform", "key-value service, list of VMs, weight store", "", &platformCommand{ctx: ctx})
	pa.AddCommand("engine", "the model engine on one VM", "", &engineCommand{ctx: ctx})
	pa.AddCommand("service", "a plain service", "", &serviceCommand{ctx: ctx})
	if _, err := pa.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type listenFlags struct {
	Listen string `long:"listen" required:"yes" description:"IP:port"`
}

// serve runs the handler, and side next to it, until ctx ends.
func (lf listenFlags) serve(ctx context.Context, handler http.Handler, side func(context.Context) error) error {
	ln, err := net.Listen("tcp", lf.Listen)
	if err != nil {
		return err
	}
	sv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var gr run.Group
	part, cancel := context.WithCancel(ctx)
	gr.Add(func() error { return side(part) }, func(error) { cancel() })
	gr.Add(func() error { return sv.Serve(ln) }, func(error) { sv.Close() })
	err = gr.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func wait(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

type platformCommand struct {
	ctx context.Context
	listenFlags
	VMs              []string `long:"vm" description:"NAME,IP:PORT,DATA-CENTER,FABRIC-DOMAIN"`
	WeightsPerMinute int      `long:"weights-per-minute"`
}

// Execute implements flags.Commander.
func (pc *platformCommand) Execute([]string) error {
	var vms []platform.VM
	for _, text := range pc.VMs {
		parts := strings.Split(text, ",")
		if len(parts) != 4 {
			return fmt.Errorf("--vm %q: want NAME,IP:PORT,DATA-CENTER,FABRIC-DOMAIN", text)
		}
		vms = append(vms, platform.VM{Name: parts[0], Address: parts[1], DataCenter: parts[2], FabricDomain: parts[3], State: platform.VMLive})
	}
	return pc.serve(pc.ctx, standin.NewPlatform(vms, pc.WeightsPerMinute).Handler(), wait)
}

type engineCommand struct {
	ctx context.Context
	listenFlags
	VM             string        `long:"vm" required:"yes"`
	Platform       string        `long:"platform" description:"address of the weight store"`
	LoadTime       time.Duration `long:"load-time" default:"500ms"`
	TokenTime      time.Duration `long:"token-time" default:"20ms"`
	PrefillTime    time.Duration `long:"prefill-time" default:"100ms"`
	Slots          int           `long:"slots"`
	IgnoresFencing bool          `long:"ignores-fencing"`
}

// Execute implements flags.Commander.
func (ec *engineCommand) Execute([]string) error {
	en := &standin.Engine{
		VM:             ec.VM,
		Incarnation:    fmt.Sprintf("%d-%d", time.Now().UnixNano(), os.Getpid()),
		Platform:       ec.Platform,
		LoadTime:       ec.LoadTime,
		TokenTime:      ec.TokenTime,
		PrefillTime:    ec.PrefillTime,
		Slots:          ec.Slots,
		IgnoresFencing: ec.IgnoresFencing,
	}
	return ec.serve(ec.ctx, en.Handler(), en.Run)
}

type serviceCommand struct {
	ctx context.Context
	listenFlags
}

// Execute implements flags.Commander.
func (sc *serviceCommand) Execute([]string) error {
	return sc.serve(sc.ctx, (&standin.Service{}).Handler(), wait)
}
