const only = document.getElementById("only");
only.addEventListener("input", () => {
  const wanted = only.value.toLowerCase();
  const fits = (element) => element.dataset.text.toLowerCase().includes(wanted);
  for (const row of document.querySelectorAll("tr[data-text]")) {
    row.classList.toggle("hidden", !fits(row));
  }
  for (const mark of document.querySelectorAll(".picture [data-text]")) {
    mark.classList.toggle("faint", !fits(mark));
  }
});
