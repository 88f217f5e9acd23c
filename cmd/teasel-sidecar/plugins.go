package main

// The plug-ins of a node on the platform. Each registers itself in its init
// function.
import (
	_ "teaselring/platform"
	_ "teaselring/plugins/accountlimits"
	_ "teaselring/plugins/callrelay"
	_ "teaselring/plugins/callrouter"
	_ "teaselring/plugins/callslots"
	_ "teaselring/plugins/configrows"
	_ "teaselring/plugins/crashspread"
	_ "teaselring/plugins/edgeinbound"
	_ "teaselring/plugins/edgeoutbound"
	_ "teaselring/plugins/membershiprows"
	_ "teaselring/plugins/memorybudget"
	_ "teaselring/plugins/rolloutrows"
	_ "teaselring/plugins/storereplica"
	_ "teaselring/plugins/upstreambeats"
)
