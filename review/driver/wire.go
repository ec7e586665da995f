package main

import (
	_ "embed" // for the files under wire
	"encoding/json"
)

// configRecord is the configuration that the operator writes.
//
//go:embed wire/config.json
var configRecord []byte

//go:embed wire/names.json
var namesFile []byte

// names are the names and messages of the platform's protocols that the stand-ins and clients use.
var names struct {
	SettingsVariable string            `json:"settings_variable"`
	ReadyPath        string            `json:"ready_path"`
	ResultsPath      string            `json:"results_path"` // of a job's ID and a position
	RequestID        string            `json:"request_id"`
	Stamp            string            `json:"response_stamp"`
	ItemHeaders      map[string]string `json:"item_headers"` // values may hold the number of the item
	// StreamRequest holds the host, the request's ID, the time budget in ms, the length of the
	// body and the body.
	StreamRequest string `json:"stream_request"`
	Retention     string `json:"retention"`
}

// loadNames loads names.
func loadNames() error { return json.Unmarshal(namesFile, &names) }
