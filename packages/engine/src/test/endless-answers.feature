Feature: upstreams that never end their answers, with sidecars

  Scenario Outline: an upstream that sends <what> without end
    Guards against a sidecar whose memory grows, or that is kept busy, until the time limit of the request.
    When a <call> is answered with "<what>" without end
    Then it fails within 3000 ms as one that may have run, and no connection stays open

    Examples:
      | call       | what                     |
      | completion | one event                |
      | completion | one event in tiny chunks |
      | completion | a body                   |
      | completion | interim responses        |
      | plain call | interim responses        |

  Scenario: an engine that goes on after the last event
    Guards against a connection that is read for as long as the engine sends, though the answer is complete.
    When a completion is answered with "events after the last one" without end
    Then it is complete, and no connection stays open
