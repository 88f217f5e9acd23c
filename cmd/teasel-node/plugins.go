package main

// The plug-ins of a node. Each registers itself in its init function.
import (
	_ "teaselring/plugins/callforward"
	_ "teaselring/plugins/edgecallers"
	_ "teaselring/plugins/edgeoperators"
	_ "teaselring/plugins/edgepeers"
	_ "teaselring/plugins/nodeidentity"
	_ "teaselring/plugins/oncekeys"
)
