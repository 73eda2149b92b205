/** Scenario of the `demo` command: two availability zones, two services. */

/** Text of the scenario. */
export const DEMO_SCENARIO_TEXT = `
[scenario]
name = demo
deployment = lakeshore
scale = shelf 2 of 7 instances, labels 2 of 4 with 2 of 60 slots
seed = 1
duration_milliseconds = 18000
caller_timeout_milliseconds = 1000
resends = 3

[fleet]
availability_zones = erie-dock, huron-yard
voters = 3

[service.shelf]
instances = 2
slots = 32
connections = 300
service_milliseconds = 5
children = GET labels /pack

[service.labels]
instances = 2
slots = 2
connections = 450
service_milliseconds = 20

[load.statusCheck]
service = shelf
path = /status
importance = urgent
share = 0.2

[load.priceList]
service = shelf
path = /prices
importance = normal
share = 0.5

[load.stockList]
service = shelf
path = /stock
importance = background
share = 0.3

[step.1]
at_milliseconds = 0
rate = 0.7

[step.2]
at_milliseconds = 5000
rate = 3

[step.3]
at_milliseconds = 11000
rate = 0.7
`;
