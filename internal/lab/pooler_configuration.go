package lab

import (
	"errors"
	"os"
	"path/filepath"

	"capercove/internal/scenario"
	"capercove/internal/standin"
)

// What the platform grants a pooler of the lab.
const (
	poolerMemoryMB = 192
	poolerSockets  = 1024
)

// PoolerConfiguration describes the configuration files of one pooler of a fleet.
type PoolerConfiguration struct {
	Number     int
	Listen     string // address for clients
	Management string // address for operators
	Dir        string // folder of the files
	MoreTables string // appended to the operators' file
}

// Write writes the platform's settings and the operators' file.
func (configuration PoolerConfiguration) Write(fleet *standin.Fleet) error {
	settings, err := fleet.Config(
		configuration.Number, configuration.Listen, configuration.Management, poolerMemoryMB, poolerSockets)
	if err != nil {
		return err
	}
	operatorsFile := fleet.Scenario.OperatorsFile() + configuration.MoreTables
	return errors.Join(
		os.WriteFile(configuration.settingsPath(), settings, 0o600),
		os.WriteFile(configuration.operatorsPath(), []byte(operatorsFile), 0o600),
	)
}

// Environment returns the environment variables that name the files, in the form NAME=PATH.
func (configuration PoolerConfiguration) Environment() []string {
	return []string{
		"GW_CONFIG=" + configuration.settingsPath(),
		"CAPERCOVE_CONFIG=" + configuration.operatorsPath(),
	}
}

func (configuration PoolerConfiguration) settingsPath() string { return configuration.path(".json") }

func (configuration PoolerConfiguration) operatorsPath() string { return configuration.path(".toml") }

// path returns the path of a file of the pooler, by its extension.
func (configuration PoolerConfiguration) path(extension string) string {
	return filepath.Join(configuration.Dir, scenario.PoolerName(configuration.Number)+extension)
}
