/** Configurations in the operator's format. */

/** Creates a configuration; each route has a host, a kind and a service. */
export function createConfiguration(version, routes, tenants) {
  const services = [
    ...new Set(Object.values(routes).map(({service}) => service)),
  ];
  return {
    limits: {
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      max_body_bytes: 67_108_864,
      max_header_bytes: 16_384,
    },
    routes: Object.fromEntries(
      Object.entries(routes).map(([name, route]) => [
        name,
        {
          attempts: 2,
          path_prefix: '/',
          priority: 0,
          target_latency_ms: 1_500,
          timeout_ms: 5_000,
          ...route,
        },
      ]),
    ),
    services: Object.fromEntries(
      services.map((name) => [
        name,
        {
          health_path: '/health',
          max_connections: 500,
          protocol: 'h1',
          tls: false,
        },
      ]),
    ),
    ...(tenants === undefined ? {} : {tenants}),
    version: `r${version}`,
  };
}
