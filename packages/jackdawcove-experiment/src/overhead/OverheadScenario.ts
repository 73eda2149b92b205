/** Fleet of the overhead comparison: the daemon of the caller and the daemon of the backend server. */

/** Text of the scenario; only its fleet is used, not its load. */
export const OVERHEAD_SCENARIO_TEXT = `
[scenario]
name = overhead
deployment = two daemons
scale = one instance each
duration_milliseconds = 1000

[fleet]
availability_zones = erie-dock
voters = 0

[service.front]
instances = 1
slots = 64
connections = 64
service_milliseconds = 0

[service.back]
instances = 1
slots = 64
connections = 64
service_milliseconds = 0
answer_bytes = 2048

[load.call]
service = back
path = /x
share = 1

[step.1]
at_milliseconds = 0
rate = 1
`;
