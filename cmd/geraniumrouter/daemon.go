package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	gradapter "geraniumrouter/platform"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grlog"
	"geraniumrouter/transport/grnode"
	"geraniumrouter/transport/grtrace"
)

func daemonCommands() []command {
	var serveFile, checkFile string
	var metricsPort int
	var platformFile bool
	serve := newSubcommand("serve", "Run an entry instance.")
	serve.String(&serveFile, "s", "settings", "the INI file to start from")
	platform := newSubcommand("platform", "Run an entry instance on the users' platform, with the settings that it gives.")
	platform.Int(&metricsPort, "", "metrics-port", "the port of the metrics on the instance's address; 0: the first of its own ports")
	check := newSubcommand("check-settings", "Check a settings file and print every fault.")
	check.AddPositionalValue(&checkFile, "FILE", 1, true, "the file")
	check.Bool(&platformFile, "", "platform", "the file is one that the users' platform gives")
	return []command{
		{serve, func() int { return runServe(serveFile) }},
		{platform, func() int { return runPlatform(metricsPort) }},
		{check, func() int { return runCheck(checkFile, platformFile) }},
	}
}

func readSettings(file string) (grsettings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return grsettings.Settings{}, errors.Wrap(err, "settings")
	}
	return grsettings.Parse(file, data)
}

func runCheck(file string, platformFile bool) int {
	check := func(file string) error {
		_, err := readSettings(file)
		return err
	}
	if platformFile {
		check = gradapter.CheckSettings
	}
	if err := check(file); err != nil {
		return failUsage(err)
	}
	fmt.Println("no fault")
	return exitDone
}

func runServe(file string) int {
	settings, err := readSettings(file)
	if err != nil {
		return failUsage(err)
	}
	log, err := newLog(settings.LogLevel)
	if err != nil {
		return failUsage(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	exporter := grtrace.ExporterConfig{Kind: settings.TraceExporter, Address: settings.TraceAddress}
	flush, err := grtrace.Setup(ctx, exporter, settings.Instance)
	if err != nil {
		return failUsage(err)
	}
	defer func() { _ = flush(context.Background()) }() // Failing to export the last spans is not an error.
	node := &grnode.Node{Settings: settings, Log: log, Clock: grclock.System(), Terminate: make(chan os.Signal, 1)}
	signal.Notify(node.Terminate, syscall.SIGTERM, syscall.SIGINT)
	if err := node.Run(ctx); err != nil {
		return fail(err)
	}
	return exitDone
}

func runPlatform(metricsPort int) int {
	sink := &grlog.Sink{Out: os.Stdout, Clock: grclock.System()}
	writer := grgroup.New(context.Background())
	writer.Start(sink.Run)
	err := gradapter.Run(context.Background(), sink.Logger(zapcore.InfoLevel), metricsPort)
	writer.Stop()
	_ = writer.Wait() // Sink.Run always returns nil.
	if err != nil {
		return fail(err)
	}
	return exitDone
}

func newLog(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return config.Build()
}
