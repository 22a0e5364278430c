; Enables stepped drains: `serve --enable deploy/drain.scm`. See docs/operators/drain.md.
(drain
  (let-end-s 60)          ; seconds; work estimated to end within this time is not stopped
  (ready-timeout-s 300)   ; seconds after which a replacement that is not ready is itself replaced
  (stalled-after-s 60)    ; seconds without progress after which a drain is reported as stalled
  (budgets
    ; `default` applies to every team without an entry of its own, which has the form
    ; (team NAME (at-once N) (at-once-share S) (within SECONDS N) (class NAME ...))
    (default (at-once 8) (at-once-share 0.1))))
