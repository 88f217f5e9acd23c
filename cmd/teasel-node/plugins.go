package main

// The plug-ins of a node. Each registers itself in its init function.
import (
	_ "teaselring/cmd/internal/nodeplugins"
	_ "teaselring/plugins/platformhttp"
)
