Feature: one request at upstreams that fail, pause and go on

  Scenario: any order of events
    Guards against answers that are cut off, joined wrongly or missing, and against batch slots, limits and retries that are not returned: the
    upstreams, the caller and the operators of one request act in any order.
    Then of 12000 requests none breaks a rule
