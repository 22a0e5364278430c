/** Reports whether a load balancer may route users' requests to this controller. */
export interface HealthCheck {
  isReady(): boolean;
}
