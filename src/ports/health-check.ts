/** What a controller tells a load balancer. */

/** Says whether users may be sent to this controller. */
export interface HealthCheck {
  isReady(): boolean;
}
