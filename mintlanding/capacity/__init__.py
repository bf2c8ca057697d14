"""Which requests are served when engines cannot serve all in time.

`fair_order` ranks the requests that wait at an engine, `fleet_room` tells at
the first instance whether any engine can start a request in time, and
`return_times` decides when a refused caller should return.
"""
