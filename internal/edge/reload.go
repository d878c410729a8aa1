package edge

import (
	"os"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/platform"
)

// Reload reads the settings file at each signal, until the channel is closed, and logs
// whether it is valid. It applies nothing: addresses and names of a running process do not
// change, and the platform starts a new process for that.
func Reload(signals <-chan os.Signal, path string, log *logging.Logger) {
	for range signals {
		boot, err := platform.ReadBoot(path)
		if err != nil {
			log.Error("settings are invalid; the previous ones stay in force", zap.Error(err))
			continue
		}
		log.Info("settings are valid; a running process keeps its own", zap.Stringer("store", boot.Store), zap.Int("seeds", len(boot.Seeds)))
	}
}
