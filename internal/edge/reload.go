package edge

import (
	"os"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/logging"
	"rosedale.dev/rosedale/platform"
)

// Reload reads the settings file again at each signal and logs what it found,
// until the channel is closed. Addresses and names of a running process do not
// change; the platform starts a new one for that.
func Reload(signals <-chan os.Signal, path string, log *logging.Logger) {
	for range signals {
		boot, err := platform.ReadBoot(path)
		if err != nil {
			log.Error("settings not usable; the old ones stay in force", zap.Error(err))
			continue
		}
		log.Info("settings read again", zap.Stringer("store", boot.Store), zap.Int("seeds", len(boot.Seeds)))
	}
}
