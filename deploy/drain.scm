; Enables stepped drains: `serve --enable deploy/drain.scm`. See docs/operators/drain.md.
(drain
  (let-end-s 60)          ; work that ends within this time is let end
  (ready-timeout-s 300)   ; a replacement that is not ready by then is given up for another
  (stalled-after-s 60)    ; a drain that has not moved for this long is shown as stalled
  (budgets
    ; for every team that is not named: (team NAME (at-once N) (at-once-share S) (within SECONDS N) (class NAME ...))
    (default (at-once 8) (at-once-share 0.1))))
