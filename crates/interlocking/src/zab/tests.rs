mod dummy {}
